package allowance

// Stats counts what a pool has done.
type Stats struct {
	Asks uint64
	// Answers to asks, by result.
	Granted, Empty, Misdirected, Unanswered uint64
	// Tokens granted, used, returned and expired.
	Tokens, Used, Returned, Expired uint64
	// Waits counts the requests that waited for a token, Exceeded and Unavailable the refused ones.
	Waits, Exceeded, Unavailable uint64
}

// add adds the counts of another pool.
func (s *Stats) add(o Stats) {
	s.Asks += o.Asks
	s.Granted += o.Granted
	s.Empty += o.Empty
	s.Misdirected += o.Misdirected
	s.Unanswered += o.Unanswered
	s.Tokens += o.Tokens
	s.Used += o.Used
	s.Returned += o.Returned
	s.Expired += o.Expired
	s.Waits += o.Waits
	s.Exceeded += o.Exceeded
	s.Unavailable += o.Unavailable
}
