// Package settings reads the JSON settings of an entry or an agent.
//
// Parsing is strict: a key that the role does not use, a key that occurs twice
// and a value of another type are faults, and all faults are reported together
// with the path, the value and what was expected. Absent keys get defaults.
// Settings are immutable and may be read from any goroutine.
package settings

import (
	"encoding/json"
	"net"
	"slices"
	"time"

	"jacinthpost/core/fleet"
)

// Role is what a process does.
type Role string

// Roles of a process.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// document is the JSON form. Each role has its own validation tags; a key
// without a tag of the role is not used by the role.
type document struct {
	Instance   string `json:"instance" entry:"required,name" agent:"required,name"`
	Region     string `json:"region" entry:"required,name" agent:"required,name"`
	DataCentre string `json:"dataCentre" entry:"required,name" agent:"required,name"`
	Rack       string `json:"rack" entry:"required,name" agent:"required,name"`

	CallerAddress   string `json:"callerAddress" entry:"required,listen"`
	LocalAddress    string `json:"localAddress" agent:"required,listen"`
	PeerAddress     string `json:"peerAddress" entry:"required,address" agent:"required,address"`
	GossipAddress   string `json:"gossipAddress" entry:"required,address" agent:"required,address"`
	MetricsAddress  string `json:"metricsAddress" entry:"required,listen" agent:"required,listen"`
	InstanceAddress string `json:"instanceAddress" entry:"omitempty,ip" agent:"omitempty,ip"`

	TableAddress  string   `json:"tableAddress" entry:"required,address" agent:"required,address"`
	ObjectAddress string   `json:"objectAddress" entry:"required,address" agent:"required,address"`
	WorkerAddress string   `json:"workerAddress" agent:"required,address"`
	Seeds         []string `json:"seeds" entry:"max=64,unique,dive,address" agent:"max=64,unique,dive,address"`

	Partitions  int    `json:"partitions" entry:"min=1,max=1024" agent:"min=1,max=1024"`
	StoreRegion string `json:"storeRegion" entry:"required,name" agent:"required,name"`

	RequestTimeoutMillis int    `json:"requestTimeoutMillis" entry:"min=1,max=600000" agent:"min=1,max=600000"`
	QueueLimit           int    `json:"queueLimit" entry:"min=1,max=100000" agent:"min=1,max=100000"`
	ShutdownSeconds      int    `json:"shutdownSeconds" entry:"min=1,max=600" agent:"min=1,max=600"`
	LogLevel             string `json:"logLevel" entry:"oneof=debug info warn error" agent:"oneof=debug info warn error"`
}

// defaults returns the values of absent keys.
func defaults() document {
	return document{
		Partitions:           16, // for current deployments; 64 for the size expected in two years
		RequestTimeoutMillis: 10_000,
		QueueLimit:           256,
		ShutdownSeconds:      20,
		LogLevel:             "info",
	}
}

// Settings are the validated settings of one process.
type Settings struct {
	role Role
	doc  document
}

// Role returns the role the settings are for.
func (set Settings) Role() Role { return set.role }

// Instance returns the ID of the process and its instance.
func (set Settings) Instance() fleet.InstanceID { return fleet.InstanceID(set.doc.Instance) }

// Location returns the position of the instance.
func (set Settings) Location() fleet.Location {
	return fleet.NewLocation(fleet.Region(set.doc.Region), fleet.DataCentre(set.doc.DataCentre), fleet.Rack(set.doc.Rack))
}

// CallerAddress returns where an entry listens for callers and operators.
func (set Settings) CallerAddress() string { return set.doc.CallerAddress }

// LocalAddress returns where an agent listens for announcements of its endpoint.
func (set Settings) LocalAddress() string { return set.doc.LocalAddress }

// PeerAddress returns where the process listens for calls of other processes; it tells them this address.
func (set Settings) PeerAddress() string { return set.doc.PeerAddress }

// GossipAddress returns the UDP address of the membership protocol; it tells others this address.
func (set Settings) GossipAddress() string { return set.doc.GossipAddress }

// InstanceAddress returns the IP address of the instance when others reach it by another
// one, as behind address translation; it is empty otherwise. The process listens
// for peers and gossip there, at the ports that it tells others, and opens its
// connections to peers and to the store from there.
func (set Settings) InstanceAddress() string { return set.doc.InstanceAddress }

// PeerListenAddress returns where the process listens for calls of other processes.
func (set Settings) PeerListenAddress() string { return set.onHost(set.doc.PeerAddress) }

// GossipListenAddress returns the UDP address on which the membership protocol receives and sends.
func (set Settings) GossipListenAddress() string { return set.onHost(set.doc.GossipAddress) }

func (set Settings) onHost(announced string) string {
	if set.doc.InstanceAddress == "" {
		return announced
	}
	_, port, _ := net.SplitHostPort(announced) // validated
	return net.JoinHostPort(set.doc.InstanceAddress, port)
}

// MetricsAddress returns where metrics and health are served.
func (set Settings) MetricsAddress() string { return set.doc.MetricsAddress }

// TableAddress returns the address of the table service.
func (set Settings) TableAddress() string { return set.doc.TableAddress }

// ObjectAddress returns the address of the object store.
func (set Settings) ObjectAddress() string { return set.doc.ObjectAddress }

// WorkerAddress returns the address of the agent's worker.
func (set Settings) WorkerAddress() string { return set.doc.WorkerAddress }

// Seeds returns gossip addresses to join through, besides those in the table.
func (set Settings) Seeds() []string { return slices.Clone(set.doc.Seeds) }

// Partitions returns the number of job partitions, the same in all processes of a deployment.
func (set Settings) Partitions() int { return set.doc.Partitions }

// StoreRegion returns the region of the table service and the object store.
func (set Settings) StoreRegion() fleet.Region { return fleet.Region(set.doc.StoreRegion) }

// RequestTimeout returns the timeout of a service request whose caller sets none.
func (set Settings) RequestTimeout() time.Duration {
	return time.Duration(set.doc.RequestTimeoutMillis) * time.Millisecond
}

// QueueLimit returns the number of requests that may wait.
func (set Settings) QueueLimit() int { return set.doc.QueueLimit }

// Shutdown returns the time limit of a graceful stop.
func (set Settings) Shutdown() time.Duration {
	return time.Duration(set.doc.ShutdownSeconds) * time.Second
}

// LogLevel returns debug, info, warn or error.
func (set Settings) LogLevel() string { return set.doc.LogLevel }

// Encode returns the settings as JSON with defaults filled in.
func (set Settings) Encode() []byte {
	raw, err := json.Marshal(set.doc)
	if err != nil {
		panic("settings: encode plain fields: " + err.Error())
	}
	return raw
}
