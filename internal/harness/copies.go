package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// copyPorts is the offset of the ports of copies from the platform's port.
	copyPorts = 1000
	// portsPerCopy is the number of ports reserved for each copy.
	portsPerCopy = 5
)

// copyInstances writes settings files for the instances beyond those of the deployment,
// modelled on the deployment's files in turn.
func (fle *Fleet) copyInstances(models []string) ([]string, error) {
	var files []string
	for num := len(models); num < fle.options.Instances; num++ {
		raw, err := os.ReadFile(models[num%len(models)])
		if err != nil {
			return nil, errors.Wrap(err, "read settings")
		}
		file, err := fle.copyInstance(raw, num)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func (fle *Fleet) copyInstance(raw []byte, num int) (string, error) {
	var set map[string]any
	if err := json.Unmarshal(raw, &set); err != nil {
		return "", errors.Wrap(err, "decode settings")
	}
	var base int
	if _, err := fmt.Sscanf(set["tableAddress"].(string), "127.0.0.1:%d", &base); err != nil {
		return "", errors.Wrap(err, "read port of the platform")
	}
	port := base + copyPorts + portsPerCopy*num
	address := func(pos int) string { return fmt.Sprintf("127.0.0.1:%d", port+pos) }
	set["instance"] = fmt.Sprintf("agent-%d", num+1)
	set["rack"] = strings.TrimSuffix(set["rack"].(string), "1") + fmt.Sprint(num/3+1)
	set["peerAddress"], set["gossipAddress"] = address(0), address(0)
	set["metricsAddress"], set["localAddress"], set["workerAddress"] = address(1), address(2), address(3)
	out, err := json.Marshal(set)
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(fle.options.Folder, fmt.Sprintf("agent-%d.json", num+1))
	if err := os.WriteFile(file, out, 0o644); err != nil {
		return "", errors.Wrap(err, "write settings")
	}
	return file, nil
}
