package clients

import "jacinthpost/core/shed"

// leastBytes is enough for one request of the largest size, 4 MiB.
const leastBytes = 16 << 20

// Share returns the limits of clients that may use the given part of a machine's memory, in bytes.
func Share(part float64, memory int64) shed.Limits {
	return shed.NewLimits(0, 0, max(leastBytes, int64(part*float64(memory))))
}
