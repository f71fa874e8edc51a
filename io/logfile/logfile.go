// Package logfile reads the decision logs of processes: JSON lines in files, in the
// files of folders, or on standard input. Text that a log collector has put before the
// JSON object of a line is ignored. Lines that can't be parsed are counted and left out.
package logfile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"jacinthpost/core/decision"
	"jacinthpost/core/history"
)

// maxLineBytes bounds a line; a decision takes less than one percent of it.
const maxLineBytes = 1 << 20

// Log holds the decisions that were read and the number of lines that were not decisions.
type Log struct {
	lines      []history.Line
	unreadable int
}

// Lines returns the decisions in the order of the files.
func (log *Log) Lines() []history.Line { return log.lines }

// Unreadable returns the number of lines that are not decisions.
func (log *Log) Unreadable() int { return log.unreadable }

// Open reads each name: a file, a folder with all files below it, or standard input for "-".
func Open(names []string, stdin io.Reader) (*Log, error) {
	log := &Log{}
	for _, name := range names {
		if name == "-" {
			if err := log.Read(stdin); err != nil {
				return nil, errors.Wrap(err, "standard input")
			}
			continue
		}
		if err := log.readTree(name); err != nil {
			return nil, err
		}
	}
	return log, nil
}

func (log *Log) readTree(name string) error {
	return filepath.WalkDir(name, func(path string, ent fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if ent.IsDir() {
			return nil
		}
		fil, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = fil.Close() }()
		if err := log.Read(fil); err != nil {
			return errors.Wrap(err, path)
		}
		return nil
	})
}

// Read adds the lines of a reader.
func (log *Log) Read(src io.Reader) error {
	scn := bufio.NewScanner(src)
	scn.Buffer(nil, maxLineBytes)
	for scn.Scan() {
		raw := bytes.TrimSpace(scn.Bytes())
		if len(raw) == 0 {
			continue
		}
		lin, ok := Parse(raw)
		if !ok {
			log.unreadable++
			continue
		}
		log.lines = append(log.lines, lin)
	}
	return scn.Err()
}

// Parse reads one line and reports whether it is a decision.
func Parse(raw []byte) (history.Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return history.Line{}, false
	}
	var bdy struct {
		Time         time.Time     `json:"time"`
		Message      decision.Kind `json:"message"`
		Node         string        `json:"node"`
		Job          string        `json:"job"`
		Task         string        `json:"task"`
		Run          int           `json:"run"`
		Instance     string        `json:"instance"`
		Queue        string        `json:"queue"`
		Outcome      string        `json:"outcome"`
		Reason       string        `json:"reason"`
		Detail       string        `json:"detail"`
		Took         float64       `json:"took"` // milliseconds
		Image        string        `json:"image"`
		Placed       string        `json:"placed"`
		Urgency      string        `json:"urgency"`
		Interference float64       `json:"interference"`
		Unmeasured   int           `json:"unmeasured"`
	}
	if json.Unmarshal(raw[begin:], &bdy) != nil || bdy.Message == "" || bdy.Time.IsZero() {
		return history.Line{}, false
	}
	return history.Line{
		At: bdy.Time, Node: bdy.Node, Kind: bdy.Message, Job: bdy.Job, Task: bdy.Task, Run: bdy.Run, Instance: bdy.Instance,
		Queue: bdy.Queue, Outcome: bdy.Outcome, Reason: bdy.Reason, Detail: bdy.Detail,
		Took: time.Duration(bdy.Took * float64(time.Millisecond)), Image: bdy.Image,
		Placed: history.Placed{Reason: bdy.Placed, Urgency: bdy.Urgency, Interference: bdy.Interference, Unmeasured: bdy.Unmeasured},
	}, true
}
