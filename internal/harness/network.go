package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"jacinthpost/io/control"
)

const (
	// announcedHost is the host of all addresses in the settings of the deployments.
	announcedHost = "127.0.0.1"
	// relayPortOffset is the offset of the relay's control port from the platform's port.
	relayPortOffset = 9
	storeName       = "store"
)

// Link selects the connections that any process in From opens to any process in To. An empty
// list selects all processes.
type Link struct {
	From []string
	To   []string
}

// NetworkFault is a fault that the relay injects on links.
type NetworkFault struct {
	mode      string
	datagrams bool
}

// Faults of links.
var (
	// Silent drops all bytes on established connections; new connections work.
	Silent = NetworkFault{mode: "silent"}
	// NoCalls drops all bytes on established and new connections, but delivers datagrams.
	NoCalls = NetworkFault{mode: "silentAll"}
	// Cut drops all bytes and datagrams.
	Cut = NetworkFault{mode: "silentAll", datagrams: true}
)

// place is the body with which a process is registered at the relay.
type place struct {
	Name string `json:"name"`
	Host string `json:"host"`
	TCP  []int  `json:"tcp"`
	UDP  int    `json:"udp"`
}

// StoreName returns the name of the platform's stand-in in links.
func StoreName() string { return storeName }

// EndpointName returns the name of the endpoint and worker of an instance in links.
func (ins *Instance) EndpointName() string { return "endpoint-" + ins.id }

// SetNetwork injects a fault on the links and removes all other faults. The fleet must be
// relayed.
func (fle *Fleet) SetNetwork(ctx context.Context, flt NetworkFault, links ...Link) error {
	type rule struct {
		From          []string `json:"from"`
		To            []string `json:"to"`
		Mode          string   `json:"mode"`
		DropDatagrams bool     `json:"dropDatagrams"`
	}
	rules := make([]rule, 0, len(links))
	for _, lnk := range links {
		rules = append(rules, rule{From: lnk.From, To: lnk.To, Mode: flt.mode, DropDatagrams: flt.datagrams})
	}
	return fle.postToRelay(ctx, "/v1/rules", rules)
}

// DroppedBytes returns how many bytes of connections the relay has dropped.
func (fle *Fleet) DroppedBytes(ctx context.Context) (int64, error) {
	var sta struct {
		DroppedBytes int64 `json:"droppedBytes"`
	}
	_, err := Call(ctx, "GET", fle.relay+"/v1/status", nil, nil, &sta)
	return sta.DroppedBytes, err
}

func (fle *Fleet) postToRelay(ctx context.Context, path string, body any) error {
	status, err := Call(ctx, "POST", fle.relay+path, nil, body, nil)
	if err == nil && status != http.StatusOK {
		err = errors.Errorf("relay answered %s with status %d instead of 200", path, status)
	}
	return err
}

// nextHost returns an unused loopback address for a process. In a relayed fleet, only the
// relay listens on announcedHost.
func (fle *Fleet) nextHost() string {
	if !fle.options.Relayed {
		return announcedHost
	}
	fle.hosts++
	return fmt.Sprintf("127.0.1.%d", fle.hosts)
}

// join registers a process with the relay and returns, for each announced TCP address, the
// address on which the process itself must listen.
func (fle *Fleet) join(ctx context.Context, name, host, gossip string, announced ...string) ([]string, error) {
	if !fle.options.Relayed {
		return announced, nil
	}
	plc := place{Name: name, Host: host, UDP: portOf(gossip)}
	var own []string
	for _, addr := range announced {
		plc.TCP = append(plc.TCP, portOf(addr))
		own = append(own, net.JoinHostPort(host, strconv.Itoa(portOf(addr))))
	}
	return own, fle.postToRelay(ctx, "/v1/place", plc)
}

func portOf(addr string) int {
	port, _ := strconv.Atoi(addr[strings.LastIndexByte(addr, ':')+1:])
	return port
}

// startRelay starts the relay of a relayed fleet and waits until it answers.
func (fle *Fleet) startRelay(ctx context.Context, table string) error {
	if !fle.options.Relayed {
		return nil
	}
	fle.relay = net.JoinHostPort(announcedHost, strconv.Itoa(portOf(table)+relayPortOffset))
	if _, err := fle.run("relay", "standin-relay", "--host", announcedHost, "--control", fle.relay); err != nil {
		return err
	}
	for {
		if _, err := Call(ctx, "GET", fle.relay+"/v1/status", nil, nil, nil); err == nil {
			return nil
		}
		if err := control.Pause(ctx, readyPause); err != nil {
			return errors.Wrap(err, "wait for relay")
		}
	}
}

// onOwnHost replaces the listen addresses in the settings of a process by the given host.
func onOwnHost(raw []byte, host string) ([]byte, error) {
	if host == announcedHost {
		return raw, nil
	}
	var set map[string]any
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	set["instanceAddress"] = host
	if local, found := set["localAddress"].(string); found {
		set["localAddress"] = net.JoinHostPort(host, strconv.Itoa(portOf(local)))
	}
	out, err := json.Marshal(set)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	return out, nil
}
