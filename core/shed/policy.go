package shed

import "time"

// Policy orders the connections that can give way. The one with the highest value is the first.
type Policy interface {
	// ForMemory orders connections that give way so that memory is freed.
	ForMemory(con *Connection, now time.Time) float64
	// ForPlace orders connections that give way for a new one.
	ForPlace(con *Connection, now time.Time) float64
}

// LeastProgress lets the connections give way that make the least of what they hold. For memory, that is the one with the
// highest product of the memory of its request and the time to send that again at its recent rate; for a place, the one that has
// been silent for longest. Small requests and slow clients that go on keep what they have beside clients that have stopped.
type LeastProgress struct{}

var _ Policy = LeastProgress{}

// leastRate is added to the rate of a connection, in bytes per second, so that among silent ones the largest give way first.
const leastRate = 1 << 10

// ForMemory implements Policy. The value is in byte seconds.
func (LeastProgress) ForMemory(con *Connection, now time.Time) float64 {
	bytes := float64(con.Held() - ConnectionBytes)
	return bytes * bytes / (con.Rate(now) + leastRate)
}

// ForPlace implements Policy. The value is in seconds.
func (LeastProgress) ForPlace(con *Connection, now time.Time) float64 {
	return con.Silence(now).Seconds()
}
