package retry

import (
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
)

// maxAvailable bounds the unspent retries that a service accumulates while it has none to make.
const maxAvailable = 10

// Budget tracks how many retries each service may still make. Each first attempt adds a fraction of a retry. It is safe
// for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available map[ident.Service]float64
}

// NewBudget returns a budget that allows no retries until first attempts have added up to one.
func NewBudget() *Budget {
	return &Budget{available: map[ident.Service]float64{}}
}

// RecordFirstAttempt records a first attempt of a request, which adds the share to the retries of the service.
func (b *Budget) RecordFirstAttempt(s ident.Service, share ident.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available[s] = min(b.available[s]+float64(share), maxAvailable)
}

// Take consumes one retry, or reports false if the service has less than one left.
func (b *Budget) Take(s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available[s] < 1 {
		return false
	}
	b.available[s]--
	return true
}
