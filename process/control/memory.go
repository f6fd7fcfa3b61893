package control

import (
	"math"
	"os"
	"runtime/debug"
	"sync"
)

// memoryLimit is the Go runtime's soft memory limit; together with the program's code the process stays below 32 MB.
const memoryLimit = 24 << 20

// memory limits the memory of the process except while a patch is decided: this parses the whole configuration, and
// under the limit the garbage collector would run continuously.
type memory struct {
	mu sync.Mutex
	// unlimitedCount is the number of functions that are running without the limit.
	unlimitedCount int
}

// applyLimit sets the memory limit, unless GOMEMLIMIT sets one.
func (m *memory) applyLimit() {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// runUnlimited runs f without the memory limit. When the last such function returns, the limit applies again and free
// memory is returned to the operating system.
func (m *memory) runUnlimited(f func()) {
	m.mu.Lock()
	m.unlimitedCount++
	debug.SetMemoryLimit(math.MaxInt64)
	m.mu.Unlock()
	defer m.restoreLimit()
	f()
}

func (m *memory) restoreLimit() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlimitedCount--
	if m.unlimitedCount == 0 {
		m.applyLimit()
		debug.FreeOSMemory()
	}
}
