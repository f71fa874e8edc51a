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
	// Folder gets the settings and logs.
	Folder string
	// PortOffset is added to every port of the settings.
	PortOffset int
	// Instances is the number of instances, those of the deployment when smaller.
	// Further ones are copies with ports of their own, spread over the data centres.
	Instances int
	// Partitions replaces the number of job partitions of the deployment when positive.
	Partitions int
	// EndpointArgs are added to the arguments of every endpoint stand-in.
	EndpointArgs []string
}

// Deployment is the part of deployment.json that the harness uses.
type Deployment struct {
	Customer string `json:"customer"`
	Regions  []struct {
		Name        string   `json:"name"`
		DataCentres []string `json:"dataCentres"`
	} `json:"regions"`
	Service struct {
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
	agent      *Process
	endpoint   *Process
	address    string // of the endpoint and worker
	metrics    string
	former     []Run // runs of killed processes of the endpoint
}

// ID returns the name of the instance.
func (ins *Instance) ID() string { return ins.id }

// DataCentre returns where the instance is.
func (ins *Instance) DataCentre() string { return ins.dataCentre }

// Agent returns the agent process.
func (ins *Instance) Agent() *Process { return ins.agent }

// Endpoint returns the endpoint and worker process.
func (ins *Instance) Endpoint() *Process { return ins.endpoint }

// Entry is an entry process.
type Entry struct {
	process *Process
	address string
	metrics string
}

// Process returns the process.
func (ent *Entry) Process() *Process { return ent.process }

// Address returns where callers reach the entry.
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
}

// Deployment returns what the fleet was made from.
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
	DataCentre     string `json:"dataCentre"`
	CallerAddress  string `json:"callerAddress"`
	LocalAddress   string `json:"localAddress"`
	MetricsAddress string `json:"metricsAddress"`
	TableAddress   string `json:"tableAddress"`
	WorkerAddress  string `json:"workerAddress"`
}

// Start starts a deployment and waits until every process takes part in it.
// After an error everything that was started is stopped.
func Start(ctx context.Context, opt Options) (*Fleet, error) {
	fle := &Fleet{options: opt}
	err := fle.launch()
	if err == nil {
		err = fle.awaitReady(ctx)
	}
	if err != nil {
		fle.Stop()
		return nil, err
	}
	return fle, nil
}

func (fle *Fleet) launch() error {
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
		if err := fle.launchInstance(name); err != nil {
			return err
		}
	}
	for _, name := range entries {
		if err := fle.launchEntry(name); err != nil {
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

// settingsFile copies a settings file with shifted ports and starts the platform if need be.
func (fle *Fleet) settingsFile(name string) (processSettings, string, error) {
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
	file := filepath.Join(fle.options.Folder, "settings-"+filepath.Base(name))
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return set, "", errors.Wrap(err, "write settings")
	}
	if fle.platform != nil {
		return set, file, nil
	}
	fle.store = set.TableAddress
	fle.platform, err = fle.run("platform", "standin-platform", "--listen", set.TableAddress)
	return set, file, err
}

func (fle *Fleet) launchInstance(name string) error {
	set, file, err := fle.settingsFile(name)
	if err != nil {
		return err
	}
	svc := fle.deployment.Service
	args := []string{
		"--listen", set.WorkerAddress, "--agent", set.LocalAddress, "--id", set.Instance, "--service", svc.Name,
		"--milli-cpu", strconv.FormatInt(svc.MilliCPU, 10), "--memory-mb", strconv.FormatInt(svc.MemoryMB, 10),
		"--slots", strconv.Itoa(svc.Slots), "--connections", strconv.Itoa(svc.Connections),
	}
	ins := &Instance{id: set.Instance, dataCentre: set.DataCentre, address: set.WorkerAddress, metrics: set.MetricsAddress}
	ins.endpoint, err = fle.run("endpoint-"+set.Instance, "standin-endpoint", append(args, fle.options.EndpointArgs...)...)
	if err != nil {
		return err
	}
	ins.agent, err = fle.run(set.Instance, "jacinthpost", "agent", "--settings", file)
	fle.instances = append(fle.instances, ins)
	return err
}

func (fle *Fleet) launchEntry(name string) error {
	set, file, err := fle.settingsFile(name)
	if err != nil {
		return err
	}
	ent := &Entry{address: set.CallerAddress, metrics: set.MetricsAddress}
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

// awaitReady waits until each entry knows every instance with its endpoint and
// the partitions have owners.
func (fle *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for num := range fle.entries {
		for !fle.Complete(ctx, num) {
			if err := Pause(ctx, readyPause); err != nil {
				return errors.Wrapf(err, "fleet is not complete; see the logs in %s", fle.options.Folder)
			}
		}
	}
	return nil
}

// Pause waits or returns the error of the context.
func Pause(ctx context.Context, dur time.Duration) error {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends every process that the fleet has started, in reverse order.
func (fle *Fleet) Stop() {
	for num := len(fle.processes) - 1; num >= 0; num-- {
		pro := fle.processes[num]
		pro.Resume()
		pro.Kill()
	}
}
