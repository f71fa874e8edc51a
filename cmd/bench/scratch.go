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

// scratch is a temporary folder with the compiled programs, for the parts that
// run real processes.
type scratch struct{ folder string }

// inScratch runs a part in a scratch and within a time. The folder stays, and
// its name is printed, if it is to be kept.
func inScratch(name string, limit time.Duration, keep bool, run func(ctx context.Context, scr scratch) error) error {
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
	scr := scratch{folder: folder}
	if err := harness.BuildBinaries(ctx, ".", scr.binaries()); err != nil {
		return err
	}
	return run(ctx, scr)
}

func (scr scratch) binaries() string { return filepath.Join(scr.folder, "bin") }

// logs returns the folder with the settings and logs of a fleet.
func (scr scratch) logs(name string) string { return filepath.Join(scr.folder, name) }

// start starts a fleet of the options under a name.
func (scr scratch) start(ctx context.Context, name string, opt harness.Options) (*harness.Fleet, error) {
	if err := os.Mkdir(scr.logs(name), 0o755); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	opt.Repo, opt.Binaries, opt.Folder = ".", scr.binaries(), scr.logs(name)
	fle, err := harness.Start(ctx, opt)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return fle, nil
}
