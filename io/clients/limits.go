package clients

import (
	"math"

	"golang.org/x/sys/unix"

	"jacinthpost/core/shed"
)

const (
	// fileDescriptors are reserved for files, from the platform's page.
	fileDescriptors = 200
	// connectionShare of the sockets are for clients and requestShare for the calls that their requests make, one each. The
	// rest is for the process itself: feeds, peers, probes.
	connectionShare = 0.5
	requestShare    = 0.25
	// idleShare is the part of the memory for clients that connections without a request may take.
	idleShare = 0.5
	// leastBytes is enough for one request of the largest size, 4 MiB.
	leastBytes = 16 << 20
)

// Limits of probes, of which a few programs of the platform send one a second.
const (
	probeConnections = 64
	probeRequests    = 16
	probeBytes       = 2 << 20
)

// ProbeLimits returns the limits for an address that only probes and readers of metrics call.
func ProbeLimits() shed.Limits { return shed.NewLimits(probeConnections, probeRequests, probeBytes) }

// Descriptors returns how many descriptors the system lets the process open.
func Descriptors() int {
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		panic("clients: getrlimit: " + err.Error()) // fails only for an unknown resource
	}
	return int(min(lim.Cur, math.MaxInt32))
}

// Share returns the limits of clients that may use the given part of a machine's memory, in bytes, and of a process's
// descriptors.
func Share(part float64, memory int64, descriptors int) shed.Limits {
	bytes := max(leastBytes, int64(part*float64(memory)))
	sockets := max(fileDescriptors, descriptors-fileDescriptors)
	connections := min(int(connectionShare*float64(sockets)), int(idleShare*float64(bytes)/shed.ConnectionBytes))
	return shed.NewLimits(connections, int(requestShare*float64(sockets)), bytes)
}
