package cluster

import (
	"math/rand/v2"
	"slices"
	"time"

	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/orderrelay"
)

const (
	// cutOffTimeout is how long the coordinator must find that it reaches no server, while other processes
	// reach them, before it counts as cut off. A takeover takes about 0.6 s more, and the grants that were
	// renewed last before the cut end 3 s after it.
	cutOffTimeout = 400 * time.Millisecond
	// surveyInterval is the time between two surveys while the coordinator reaches no server.
	surveyInterval = 250 * time.Millisecond
	// idleSurveyInterval is the time between two surveys while it reaches some servers.
	idleSurveyInterval = time.Second
	// evidenceLifetime is how long the result of a survey counts.
	evidenceLifetime = time.Second
	// maxSurveyedServers limits the servers of a survey, of which surveyedOthers are servers that have left
	// no call unanswered.
	maxSurveyedServers = 192
	surveyedOthers     = 4
)

// contact records which servers leave the coordinator's calls unanswered, and whether that is so because
// the coordinator's own VM is cut off. Its own failures alone never show this: another process must reach
// the servers.
type contact struct {
	// suspects are the servers that have left the latest call unanswered. The value is true once a survey has
	// ended that began afterwards.
	suspects map[registry.Instance]bool
	// cutOffSince is when the first of the surveys began in which this process reached no server and another
	// one reached some; zero if it has reached one since. lastSurvey is when the latest ended.
	cutOffSince, lastSurvey time.Time
	nextSurvey              time.Time
	surveyPending           bool
	// relays has for each server that this process does not reach another process that does, and clocks the
	// latest reading of the clock of such a process, by its name.
	relays map[registry.Instance]election.Member
	clocks map[string]clockReading
	// isolated is true if this process has reached no server and no other process in the latest survey.
	isolated bool
}

func newContact() *contact {
	return &contact{
		suspects: make(map[registry.Instance]bool), relays: make(map[registry.Instance]election.Member),
		clocks: make(map[string]clockReading),
	}
}

// recordAnswer records that a server has answered a call of this process.
func (c *contact) recordAnswer(inst registry.Instance) {
	delete(c.suspects, inst)
	delete(c.relays, inst)
	c.cutOffSince, c.isolated = time.Time{}, false
}

// clockReading is a reading of another process's clock, with the time at which it was received.
type clockReading struct {
	orderrelay.Clock
	received time.Time
}

// recordClock records a reading of another process's clock.
func (c *contact) recordClock(now time.Time, member string, reading orderrelay.Clock) {
	c.clocks[member] = clockReading{Clock: reading, received: now}
}

// setRelay records that another process reaches a server that has left a call of this process unanswered. It
// returns false if there was such a process before.
func (c *contact) setRelay(inst registry.Instance, m election.Member) bool {
	_, suspect := c.suspects[inst]
	_, known := c.relays[inst]
	if suspect {
		c.relays[inst] = m
	}
	return suspect && !known
}

// relayFailed records that an order could not be sent through another process, which is no longer used for
// the server until a survey shows that it reaches it.
func (c *contact) relayFailed(now time.Time, inst registry.Instance, member string) {
	if c.relays[inst].Name == member {
		delete(c.relays, inst)
	}
	c.nextSurvey = now
}

// recordFailure records that a server has left a call of this process unanswered. The next survey is then due
// at once, so that the next order can go through another process.
func (c *contact) recordFailure(now time.Time, inst registry.Instance) {
	if _, ok := c.suspects[inst]; !ok {
		c.suspects[inst], c.nextSurvey = false, now
	}
}

// mayMove reports whether keys may move: this process is not known to be the one that is cut off. Those of
// servers that are still to be surveyed stay all the same.
func (c *contact) mayMove() bool { return c.cutOffSince.IsZero() && !c.isolated }

// unsurveyed returns the servers that have left a call unanswered and are still to be surveyed.
func (c *contact) unsurveyed() map[registry.Instance]bool {
	out := make(map[registry.Instance]bool)
	for inst, surveyed := range c.suspects {
		if !surveyed {
			out[inst] = true
		}
	}
	return out
}

// allSurveyed reports whether a survey has ended for each server that has left a call unanswered.
func (c *contact) allSurveyed() bool {
	for _, surveyed := range c.suspects {
		if !surveyed {
			return false
		}
	}
	return true
}

// startSurvey returns the servers of the survey that is due, or none.
func (c *contact) startSurvey(now time.Time, registered []registry.Server) []registry.Server {
	if c.surveyPending || len(c.suspects) == 0 || now.Before(c.nextSurvey) {
		return nil
	}
	var suspects, others []registry.Server
	known := make(map[registry.Instance]bool, len(registered))
	for _, s := range registered {
		known[s.Instance] = true
		if _, ok := c.suspects[s.Instance]; ok {
			suspects = append(suspects, s)
		} else {
			others = append(others, s)
		}
	}
	for inst := range c.suspects {
		if !known[inst] {
			delete(c.suspects, inst)
			delete(c.relays, inst)
		}
	}
	if len(suspects) == 0 {
		// No survey would end the time of being cut off, and new servers get no orders until it has ended.
		c.cutOffSince, c.isolated = time.Time{}, false
		return nil
	}
	shuffle(suspects)
	shuffle(others)
	// Those come first of which no survey has ended.
	slices.SortStableFunc(suspects, func(a, b registry.Server) int { return rank(c.suspects[a.Instance]) - rank(c.suspects[b.Instance]) })
	c.surveyPending = true
	servers := suspects[:min(len(suspects), maxSurveyedServers-surveyedOthers)]
	return append(servers, others[:min(len(others), surveyedOthers)]...)
}

func rank(surveyed bool) int {
	if surveyed {
		return 1
	}
	return 0
}

func shuffle[T any](values []T) {
	rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
}

// survey is which servers this process and others reached.
type survey struct {
	began    time.Time
	servers  []registry.Server
	own      []bool
	byOthers []bool
	// relays has for each server that others reach one of them.
	relays []election.Member
	// unanswered is true if other processes were asked and none has answered.
	unanswered bool
}

// finishSurvey records the result of a survey.
func (c *contact) finishSurvey(now time.Time, s survey) {
	c.surveyPending, c.lastSurvey, c.nextSurvey = false, now, now.Add(surveyInterval)
	defer func() {
		if len(s.servers) >= maxSurveyedServers && !c.allSurveyed() {
			c.nextSurvey = now
		}
	}()
	c.isolated = s.unanswered && !slices.Contains(s.own, true)
	for i, server := range s.servers {
		if s.own[i] {
			delete(c.relays, server.Instance)
			delete(c.suspects, server.Instance)
		} else if _, ok := c.suspects[server.Instance]; ok {
			c.suspects[server.Instance] = true
			if s.byOthers[i] {
				// The server may have become a suspect after the answer of the other process.
				c.setRelay(server.Instance, s.relays[i])
			}
		}
	}
	switch {
	case slices.Contains(s.own, true):
		c.cutOffSince = time.Time{}
		if c.allSurveyed() {
			c.nextSurvey = now.Add(idleSurveyInterval)
		}
	case !slices.Contains(s.byOthers, true):
		// The servers are lost, or all processes are cut off.
		c.cutOffSince = time.Time{}
	case c.cutOffSince.IsZero():
		c.cutOffSince = s.began
	}
}

// isCutOff reports whether this process reaches no server while others do.
func (c *contact) isCutOff(now time.Time) bool {
	return !c.cutOffSince.IsZero() && now.Sub(c.cutOffSince) >= cutOffTimeout && now.Sub(c.lastSurvey) < evidenceLifetime
}
