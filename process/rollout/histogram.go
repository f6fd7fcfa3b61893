package rollout

import (
	"encoding/binary"
	"math"
	"time"
)

// The latency histogram has bucketsPerOctave buckets for each doubling of the latency, from minLatency on. Four of them
// place the slowness limit within 19 % of the wanted one, and 64 reach up to 32 s.
const (
	bucketCount      = 64
	bucketsPerOctave = 4
	minLatency       = 500 * time.Microsecond
)

// bucket is the index of a bucket of a histogram.
type bucket int

func bucketOf(d time.Duration) bucket {
	if d <= minLatency {
		return 0
	}
	return min(bucket(bucketsPerOctave*math.Log2(float64(d)/float64(minLatency))), bucketCount-1)
}

// histogram counts latencies by bucket. A decider keeps one for each member and route, so the counts are small.
type histogram [bucketCount]uint32

func (h *histogram) total() uint64 {
	var n uint64
	for _, c := range h {
		n += uint64(c)
	}
	return n
}

// median returns the bucket of the median, or zero if there are no latencies.
func (h *histogram) median() bucket {
	half, n := h.total()/2, uint64(0)
	for i, c := range h {
		n += uint64(c)
		if n > half {
			return bucket(i)
		}
	}
	return 0
}

// encode returns the pairs of index and count of the buckets that are not empty.
func (h *histogram) encode() []byte {
	var b []byte
	for i, c := range h {
		if c > 0 {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, uint64(c))
		}
	}
	return b
}

// decodeHistogram decodes what it can; the rest of a damaged encoding is left out.
func decodeHistogram(b []byte) histogram {
	var h histogram
	for len(b) > 0 {
		i, n := binary.Uvarint(b)
		if n <= 0 || i >= bucketCount {
			return h
		}
		b = b[n:]
		c, n := binary.Uvarint(b)
		if n <= 0 || c > math.MaxUint32 {
			return h
		}
		b = b[n:]
		h[i] = uint32(c)
	}
	return h
}
