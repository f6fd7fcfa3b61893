package ring

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	items chan T
}

// New returns a ring with a capacity of n items.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{items: make(chan T, n)}
}

// Offer adds an item, or reports false if the ring is full.
func (r *Ring[T]) Offer(t T) bool {
	select {
	case r.items <- t:
		return true
	default:
		return false
	}
}

// Replace adds an item; if the ring is full, it drops the oldest one.
func (r *Ring[T]) Replace(t T) {
	for !r.Offer(t) {
		select {
		case <-r.items:
		default:
		}
	}
}

// Out returns the channel from which the receiving goroutine reads items.
func (r *Ring[T]) Out() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}
