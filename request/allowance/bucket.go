package allowance

import (
	"time"

	"github.com/amaranthramp/amaranthramp/process/clock"
)

// Bucket is a token bucket. Its rate must be above zero.
type Bucket struct {
	rate     float64
	capacity float64
	level    float64
	// filledAt is the instant up to which the level includes the tokens that were added at the rate.
	filledAt clock.Instant
}

// NewBucket returns a bucket that is empty at start, with a rate in tokens per second and a capacity in tokens.
func NewBucket(rate, capacity float64, start clock.Instant) *Bucket {
	return &Bucket{rate: rate, capacity: capacity, filledAt: start}
}

// SetLimit changes the rate and the capacity. Tokens beyond the new capacity are lost.
func (b *Bucket) SetLimit(now clock.Instant, rate, capacity float64) {
	b.fill(now)
	b.rate, b.capacity = rate, capacity
	b.level = min(b.level, capacity)
}

// Level returns the number of tokens.
func (b *Bucket) Level(now clock.Instant) float64 {
	b.fill(now)
	return b.level
}

// Take removes up to n whole tokens and returns how many.
func (b *Bucket) Take(now clock.Instant, n int) int {
	b.fill(now)
	n = max(0, min(n, int(b.level)))
	b.level -= float64(n)
	return n
}

// Put adds n tokens, up to the capacity.
func (b *Bucket) Put(now clock.Instant, n int) {
	b.fill(now)
	b.level = min(b.level+float64(n), b.capacity)
}

// Until returns the time until the bucket holds a whole token.
func (b *Bucket) Until(now clock.Instant) time.Duration {
	b.fill(now)
	d := max(0, b.filledAt.Sub(now))
	if b.level >= 1 {
		return d
	}
	return d + time.Duration((1-b.level)/b.rate*float64(time.Second))
}

func (b *Bucket) fill(now clock.Instant) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}
