package balance

// lightest is a heap of servers with the least loaded one on top.
type lightest struct {
	servers []*server
}

func (l lightest) Len() int           { return len(l.servers) }
func (l lightest) Less(i, j int) bool { return compare(l.servers[i], l.servers[j]) < 0 }
func (l lightest) Swap(i, j int)      { l.servers[i], l.servers[j] = l.servers[j], l.servers[i] }

// Push is not used: no server joins while a plan is made.
func (l lightest) Push(any) {}

// Pop is not used: no server leaves while a plan is made.
func (l lightest) Pop() any { return nil }
