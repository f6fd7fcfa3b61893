package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/amaranthramp/amaranthramp/ident"
)

// clockTick is the unit in which the kernel reports the CPU time of a process.
const clockTick = 10 * time.Millisecond

// The indexes of fields of /proc/PID/stat after the program name, which is in parentheses and may contain spaces.
const (
	fieldUserTime      = 11
	fieldSystemTime    = 12
	fieldResidentPages = 21
)

// Usage is the CPU time and the resident memory of a process, as the operating system reports them.
type Usage struct {
	CPU      time.Duration
	Resident ident.Bytes
}

// Usage reads the usage of the process; it fails when the process has exited.
func (p *Process) Usage() (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(f) <= fieldResidentPages {
		return Usage{}, fmt.Errorf("read usage: %d fields", len(f))
	}
	ticks := parseNumber(f[fieldUserTime]) + parseNumber(f[fieldSystemTime])
	return Usage{
		CPU:      time.Duration(ticks) * clockTick,
		Resident: ident.Bytes(parseNumber(f[fieldResidentPages]) * int64(os.Getpagesize())),
	}, nil
}

// parseNumber returns 0 for text that is not a number.
func parseNumber(b []byte) int64 {
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
