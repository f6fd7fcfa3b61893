package gateway

// maxTeamLabels bounds the teams that have a label value of their own in metrics. The usual number of teams is 80; with
// thousands of teams each VM would hold thousands of counters.
const maxTeamLabels = 100

// teamCount returns the number of teams of the configuration in force.
func (g *Gateway) teamCount() int {
	t := g.catalog.Get().Table
	if t == nil || t.Teams == nil {
		return 0
	}
	return t.Teams.Size()
}
