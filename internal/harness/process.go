// Package harness starts the processes of a deployment on loopback for the demo
// and for tests with real processes. It kills, pauses and restarts processes, and reads
// what the stand-ins of the platform and the endpoints recorded. It is not part of the
// product.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Process is a process started by the harness.
type Process struct {
	name    string
	binary  string
	args    []string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{}
}

// Name returns the name of the process.
func (pro *Process) Name() string { return pro.name }

// start runs the program with its output appended to the log file.
func (pro *Process) start() error {
	log, err := os.OpenFile(pro.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	pro.cmd = exec.Command(pro.binary, pro.args...)
	pro.cmd.Stdout = log
	pro.cmd.Stderr = log
	// A test binary that is killed or times out must leave no process behind.
	pro.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := pro.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", pro.name)
	}
	pro.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(pro.cmd, pro.done)
	return nil
}

// Running reports whether the process has not exited.
func (pro *Process) Running() bool {
	select {
	case <-pro.done:
		return false
	default:
		return true
	}
}

func (pro *Process) signal(sig os.Signal) {
	if pro.Running() {
		_ = pro.cmd.Process.Signal(sig)
	}
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (pro *Process) Kill() {
	pro.signal(syscall.SIGKILL)
	<-pro.done
}

// Pause suspends the process until Resume.
func (pro *Process) Pause() { pro.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (pro *Process) Resume() { pro.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM to the process and waits until it has exited. It reports whether
// the process exited successfully within the limit; after the limit, it kills the process.
func (pro *Process) Terminate(limit time.Duration) bool {
	pro.signal(syscall.SIGTERM)
	tmr := time.NewTimer(limit)
	defer tmr.Stop()
	select {
	case <-pro.done:
		return pro.cmd.ProcessState.Success()
	case <-tmr.C:
		pro.Kill()
		return false
	}
}

// Restart kills the process if it is running and starts it again.
func (pro *Process) Restart() error {
	if pro.Running() {
		pro.Kill()
	}
	return pro.start()
}

// BuildBinaries compiles the product and the stand-ins into a folder.
func BuildBinaries(ctx context.Context, repo, folder string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), "./cmd/jacinthpost", "./cmd/standin-platform", "./cmd/standin-endpoint", "./cmd/standin-relay")
	cmd.Dir = repo
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	return nil
}
