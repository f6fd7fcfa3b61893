package retry

import (
	"sync"

	"github.com/amaranthramp/amaranthramp/ident"
)

// maxAvailableRetries limits how many unused retries a service accumulates while none of its requests need one.
const maxAvailableRetries = 10

// Budget tracks how many retries each service may still make. Each first attempt adds a fraction of a retry. It is safe
// for concurrent use.
type Budget struct {
	mu sync.Mutex
	// availableRetries is the number of retries that each service may make now, including a fraction of one.
	availableRetries map[ident.Service]float64
}

// NewBudget returns a budget without retries. A service may make its first retry once the shares added by its first
// attempts amount to one retry.
func NewBudget() *Budget {
	return &Budget{availableRetries: map[ident.Service]float64{}}
}

// RecordFirstAttempt records a first attempt of a request, which adds the share, a fraction of a retry, to the
// retries available to the service.
func (b *Budget) RecordFirstAttempt(s ident.Service, share ident.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availableRetries[s] = min(b.availableRetries[s]+float64(share), maxAvailableRetries)
}

// Take consumes one retry, or reports false if the service has less than one left.
func (b *Budget) Take(s ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.availableRetries[s] < 1 {
		return false
	}
	b.availableRetries[s]--
	return true
}
