package cluster

import "time"

// ContactState is what the process knows as coordinator, or as a candidate, about its contact with servers.
type ContactState struct {
	// CutOff is true if the process reaches no server, as far as its latest survey or check says.
	CutOff bool
	// Unanswered is the number of servers that have left the latest order of this process unanswered.
	Unanswered int
	// Relays has, by server ID, the names of the processes through which orders are sent.
	Relays map[string]string
	// HandOvers is how often the process has given up the coordinator's role because it was cut off.
	HandOvers int
}

// ContactState returns the state of the contact with servers.
func (n *Node) ContactState(now time.Time) ContactState {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := ContactState{CutOff: n.reach.cutOff, HandOvers: n.handOvers, Relays: make(map[string]string)}
	if n.executor == nil {
		return state
	}
	c := n.executor.contact
	state.CutOff = c.isCutOff(now)
	state.Unanswered = len(c.suspects)
	for inst, m := range c.relays {
		state.Relays[inst.ID] = m.Name
	}
	return state
}
