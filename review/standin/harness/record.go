// Package harness starts the project's own programs as separate processes on loopback addresses, with
// stand-ins of the store, the workers and the clients around them. The stand-ins follow PROTOCOL.md.
package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), begun: time.Now()}, nil
}

// Add adds a line.
func (rec *Record) Add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f "+format+"\n", append([]any{time.Since(rec.begun).Seconds()}, args...)...)
}

// Say adds a line and prints it.
func (rec *Record) Say(format string, args ...any) {
	rec.Add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(rec.begun).Seconds()}, args...)...)
}

// Close writes what is buffered.
func (rec *Record) Close() error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if err := rec.out.Flush(); err != nil {
		return err
	}
	return rec.file.Close()
}
