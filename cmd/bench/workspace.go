package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/internal/harness"
)

// workspace is a temporary folder with the compiled programs, for the parts that
// run real processes.
type workspace struct{ folder string }

// inWorkspace runs a part in a workspace and within a time. The folder stays, and
// its name is printed, if it is to be kept.
func inWorkspace(name string, limit time.Duration, keep bool, run func(ctx context.Context, wsp workspace) error) error {
	folder, err := os.MkdirTemp("", "jacinthpost-"+name)
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer func() {
		if keep {
			fmt.Fprintln(os.Stderr, "logs in", folder)
			return
		}
		_ = os.RemoveAll(folder)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	wsp := workspace{folder: folder}
	if err := harness.BuildBinaries(ctx, ".", wsp.binaries()); err != nil {
		return err
	}
	return run(ctx, wsp)
}

func (wsp workspace) binaries() string { return filepath.Join(wsp.folder, "bin") }

// logs returns the folder with the settings and logs of a fleet.
func (wsp workspace) logs(name string) string { return filepath.Join(wsp.folder, name) }

// start starts a fleet of the options under a name.
func (wsp workspace) start(ctx context.Context, name string, opt harness.Options) (*harness.Fleet, error) {
	if err := os.Mkdir(wsp.logs(name), 0o755); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	opt.Repo, opt.Binaries, opt.Folder = ".", wsp.binaries(), wsp.logs(name)
	fle, err := harness.Start(ctx, opt)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return fle, nil
}
