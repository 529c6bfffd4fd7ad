package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const kilobyte = 1 << 10

// residentBytes returns the present and the greatest resident size of a process.
func residentBytes(pid int) (present, greatest int64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read the status of a process")
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" && fields[0] != "VmHWM:" {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, 0, errors.Wrap(err, "read the resident size of a process")
		}
		if fields[0] == "VmRSS:" {
			present = n * kilobyte
		} else {
			greatest = n * kilobyte
		}
	}
	if present == 0 {
		return 0, 0, errors.Errorf("process %d has ended", pid)
	}
	return present, greatest, nil
}
