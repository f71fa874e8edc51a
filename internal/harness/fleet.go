package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/io/control"
)

const (
	readyLimit = 30 * time.Second
	readyPause = 50 * time.Millisecond
)

// Options describe a fleet to start.
type Options struct {
	// Deployment is a folder under deploy/.
	Deployment string
	// Repo is the root of the repository.
	Repo string
	// Binaries is the folder with the compiled programs.
	Binaries string
	// Folder is where the settings and logs are written.
	Folder string
	// PortOffset is added to every port of the settings.
	PortOffset int
	// Instances is the number of instances, but at least those of the deployment. The
	// additional ones are copies with their own ports, spread over the data centres.
	Instances int
	// Partitions overrides the number of job partitions of the deployment if positive.
	Partitions int
	// EndpointArgs are appended to the arguments of every endpoint stand-in.
	EndpointArgs []string
	// Relayed connects all processes through a relay, which SetNetwork controls.
	Relayed bool
}

// Deployment is the part of deployment.json that the harness uses.
type Deployment struct {
	Organisation string `json:"organisation"`
	Regions      []struct {
		Name        string   `json:"name"`
		DataCentres []string `json:"dataCentres"`
	} `json:"regions"`
	StoreRegion string `json:"storeRegion"`
	Service     struct {
		Name        string `json:"name"`
		MilliCPU    int64  `json:"milliCPU"`
		MemoryMB    int64  `json:"memoryMB"`
		Slots       int    `json:"slots"`
		Connections int    `json:"connections"`
	} `json:"service"`
}

// Instance is the agent and the endpoint of one instance.
type Instance struct {
	id         string
	dataCentre string
	region     string
	agent      *Process
	endpoint   *Process
	address    string // of the endpoint and worker
	metrics    string
	former     []Run // runs of killed processes of the endpoint
}

// ID returns the name of the instance.
func (ins *Instance) ID() string { return ins.id }

// DataCentre returns the data centre of the instance.
func (ins *Instance) DataCentre() string { return ins.dataCentre }

// Region returns the region of the instance.
func (ins *Instance) Region() string { return ins.region }

// Agent returns the agent process.
func (ins *Instance) Agent() *Process { return ins.agent }

// Endpoint returns the endpoint and worker process.
func (ins *Instance) Endpoint() *Process { return ins.endpoint }

// Entry is an entry process.
type Entry struct {
	process *Process
	region  string
	address string
	metrics string
}

// Region returns the region of the entry.
func (ent *Entry) Region() string { return ent.region }

// Process returns the process of the entry.
func (ent *Entry) Process() *Process { return ent.process }

// Address returns the address at which the entry serves callers.
func (ent *Entry) Address() string { return ent.address }

// Fleet is a running deployment.
type Fleet struct {
	options    Options
	deployment Deployment
	platform   *Process
	store      string
	entries    []*Entry
	instances  []*Instance
	processes  []*Process
	relay      string // address of its control endpoint
	hosts      int    // number of addresses assigned to processes
}

// Deployment returns the deployment that the fleet was started from.
func (fle *Fleet) Deployment() Deployment { return fle.deployment }

// Platform returns the stand-in of the table and the object store.
func (fle *Fleet) Platform() *Process { return fle.platform }

// Entries returns the entries.
func (fle *Fleet) Entries() []*Entry { return fle.entries }

// Instances returns the instances.
func (fle *Fleet) Instances() []*Instance { return fle.instances }

// processSettings is the part of a settings file that the harness uses.
type processSettings struct {
	Instance       string `json:"instance"`
	Region         string `json:"region"`
	DataCentre     string `json:"dataCentre"`
	PeerAddress    string `json:"peerAddress"`
	GossipAddress  string `json:"gossipAddress"`
	CallerAddress  string `json:"callerAddress"`
	LocalAddress   string `json:"localAddress"`
	MetricsAddress string `json:"metricsAddress"`
	TableAddress   string `json:"tableAddress"`
	WorkerAddress  string `json:"workerAddress"`
}

// Start starts a deployment and waits until every entry is complete, as reported by
// Complete. On error, it stops all processes that it started.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	fle := &Fleet{options: opt}
	err := fle.launch(ctx)
	if err == nil {
		err = fle.awaitReady(ctx)
	}
	if err != nil {
		fle.Stop()
		return nil, err
	}
	return fle, nil
}

func (fle *Fleet) launch(ctx context.Context) error {
	raw, err := os.ReadFile(fle.deployFile("deployment.json"))
	if err != nil {
		return errors.Wrap(err, "read deployment")
	}
	if err := json.Unmarshal(raw, &fle.deployment); err != nil {
		return errors.Wrap(err, "decode deployment")
	}
	agents, err := filepath.Glob(fle.deployFile("agent-*.json"))
	if err != nil {
		return errors.Wrap(err, "list agents")
	}
	entries, err := filepath.Glob(fle.deployFile("entry-*.json"))
	if err != nil {
		return errors.Wrap(err, "list entries")
	}
	copies, err := fle.copyInstances(agents)
	if err != nil {
		return err
	}
	for _, name := range append(agents, copies...) {
		if err := fle.launchInstance(ctx, name); err != nil {
			return err
		}
	}
	for _, name := range entries {
		if err := fle.launchEntry(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (fle *Fleet) deployFile(name string) string {
	return filepath.Join(fle.options.Repo, "deploy", fle.options.Deployment, name)
}

var (
	loopbackPort = regexp.MustCompile(`127\.0\.0\.1:(\d+)`)
	partitionKey = regexp.MustCompile(`("partitions":\s*)\d+`)
)

// settingsFile writes a copy of a settings file with shifted ports, and registers the process
// with the relay. It starts the platform if it does not run yet.
func (fle *Fleet) settingsFile(ctx context.Context, name string) (processSettings, string, error) {
	var set processSettings
	raw, err := os.ReadFile(name)
	if err != nil {
		return set, "", errors.Wrap(err, "read settings")
	}
	raw = loopbackPort.ReplaceAllFunc(raw, func(match []byte) []byte {
		port, _ := strconv.Atoi(string(match[len("127.0.0.1:"):]))
		return fmt.Appendf(nil, "127.0.0.1:%d", port+fle.options.PortOffset)
	})
	if fle.options.Partitions > 0 {
		raw = partitionKey.ReplaceAll(raw, fmt.Appendf(nil, "${1}%d", fle.options.Partitions))
	}
	if err := json.Unmarshal(raw, &set); err != nil {
		return set, "", errors.Wrap(err, "decode settings")
	}
	if err := fle.startPlatform(ctx, set.TableAddress); err != nil {
		return set, "", err
	}
	host := fle.nextHost()
	if raw, err = onOwnHost(raw, host); err != nil {
		return set, "", err
	}
	announced := []string{set.PeerAddress}
	if set.LocalAddress != "" {
		announced = append(announced, set.LocalAddress)
	}
	if _, err := fle.join(ctx, set.Instance, host, set.GossipAddress, announced...); err != nil {
		return set, "", err
	}
	file := filepath.Join(fle.options.Folder, "settings-"+filepath.Base(name))
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return set, "", errors.Wrap(err, "write settings")
	}
	return set, file, nil
}

// startPlatform starts the relay and the platform unless they are running.
func (fle *Fleet) startPlatform(ctx context.Context, announced string) error {
	if fle.platform != nil {
		return nil
	}
	if err := fle.startRelay(ctx, announced); err != nil {
		return err
	}
	own, err := fle.join(ctx, storeName, fle.nextHost(), "", announced)
	if err != nil {
		return err
	}
	fle.store = own[0]
	fle.platform, err = fle.run("platform", "standin-platform", "--listen", fle.store)
	return err
}

func (fle *Fleet) launchInstance(ctx context.Context, name string) error {
	set, file, err := fle.settingsFile(ctx, name)
	if err != nil {
		return err
	}
	ins := &Instance{id: set.Instance, dataCentre: set.DataCentre, region: set.Region, metrics: set.MetricsAddress}
	own, err := fle.join(ctx, ins.EndpointName(), fle.nextHost(), "", set.WorkerAddress)
	if err != nil {
		return err
	}
	ins.address = own[0]
	svc := fle.deployment.Service
	args := []string{
		"--listen", ins.address, "--advertise", set.WorkerAddress, "--agent", set.LocalAddress, "--id", set.Instance, "--service", svc.Name,
		"--milli-cpu", strconv.FormatInt(svc.MilliCPU, 10), "--memory-mb", strconv.FormatInt(svc.MemoryMB, 10),
		"--slots", strconv.Itoa(svc.Slots), "--connections", strconv.Itoa(svc.Connections),
	}
	ins.endpoint, err = fle.run("endpoint-"+set.Instance, "standin-endpoint", append(args, fle.options.EndpointArgs...)...)
	if err != nil {
		return err
	}
	ins.agent, err = fle.run(set.Instance, "jacinthpost", "agent", "--settings", file)
	fle.instances = append(fle.instances, ins)
	return err
}

func (fle *Fleet) launchEntry(ctx context.Context, name string) error {
	set, file, err := fle.settingsFile(ctx, name)
	if err != nil {
		return err
	}
	ent := &Entry{region: set.Region, address: set.CallerAddress, metrics: set.MetricsAddress}
	ent.process, err = fle.run(set.Instance, "jacinthpost", "entry", "--settings", file)
	fle.entries = append(fle.entries, ent)
	return err
}

func (fle *Fleet) run(name, program string, args ...string) (*Process, error) {
	pro := &Process{
		name: name, binary: filepath.Join(fle.options.Binaries, program), args: args,
		logFile: filepath.Join(fle.options.Folder, name+".log"), done: make(chan struct{}),
	}
	close(pro.done)
	if err := pro.start(); err != nil {
		return pro, err
	}
	fle.processes = append(fle.processes, pro)
	return pro, nil
}

// awaitReady waits until Complete holds for every entry.
func (fle *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for num := range fle.entries {
		for !fle.Complete(ctx, num) {
			if err := control.Pause(ctx, readyPause); err != nil {
				return errors.Wrapf(err, "fleet is not complete; see the logs in %s", fle.options.Folder)
			}
		}
	}
	return nil
}

// Stop kills every process of the fleet in reverse order of their start.
func (fle *Fleet) Stop() {
	for num := len(fle.processes) - 1; num >= 0; num-- {
		pro := fle.processes[num]
		pro.Resume()
		pro.Kill()
	}
}
