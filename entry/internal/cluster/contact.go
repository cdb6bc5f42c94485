package cluster

import (
	"math/rand/v2"
	"net/netip"
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
	// answerLifetime is how long an answer shows that this process reaches servers. A server whose grant is
	// refused twice from the start of a cut on counts as silent after retryInterval.
	answerLifetime = 250 * time.Millisecond
	// surveyLifetime is how long a survey that was begun after the last answer shows that. A survey takes up
	// to 400 ms.
	surveyLifetime = 500 * time.Millisecond
	// maxSurveyedServers limits the servers of a survey, of which surveyedOthers are servers that have left
	// no call unanswered.
	maxSurveyedServers = 64
	surveyedOthers     = 4
)

// contact records which servers leave the coordinator's calls unanswered, and whether that is so because
// the coordinator's own VM is cut off. Its own failures alone never show this: another process must reach
// the servers.
type contact struct {
	// suspects are the servers that have left the latest call unanswered.
	suspects map[registry.Instance]netip.AddrPort
	// cutOffSince is when the first of the surveys began in which this process reached no server and another
	// one reached some; zero if it has reached one since. lastSurvey is when the latest ended.
	cutOffSince, lastSurvey time.Time
	nextSurvey              time.Time
	surveyPending           bool
	// relays has for each server that this process does not reach another process that does, and clocks the
	// latest reading of the clock of such a process, by its name.
	relays map[registry.Instance]election.Member
	clocks map[string]clockReading
	// surveyed is true if a survey has ended since all servers answered, and lost is true if no process has
	// reached a server in the latest and another one has said so, if there is any.
	surveyed, lost bool
	// lastAnswer is when a server has last answered a call of this process, and reachedAt when the latest
	// survey began in which it has reached one.
	lastAnswer, reachedAt time.Time
}

func newContact() *contact {
	return &contact{
		suspects: make(map[registry.Instance]netip.AddrPort), relays: make(map[registry.Instance]election.Member),
		clocks: make(map[string]clockReading),
	}
}

// recordAnswer records that a server has answered a call of this process.
func (c *contact) recordAnswer(now time.Time, inst registry.Instance) {
	c.lastAnswer, c.lost = now, false
	delete(c.suspects, inst)
	delete(c.relays, inst)
	c.cutOffSince = time.Time{}
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

// recordFailure records that a server has left a call of this process unanswered.
func (c *contact) recordFailure(inst registry.Instance, address netip.AddrPort) {
	if len(c.suspects) == 0 {
		c.surveyed, c.nextSurvey = false, time.Time{}
	}
	c.suspects[inst] = address
}

// mayMove reports whether servers that do not answer may lose their keys for that: it is known that this
// process is not the one that is cut off. An earlier survey does not show that once the answers have stopped.
func (c *contact) mayMove(now time.Time) bool {
	if len(c.suspects) == 0 {
		return true
	}
	return c.surveyed && c.cutOffSince.IsZero() && (c.lost || c.isReaching(now))
}

// isReaching reports whether this process has reached a server just now.
func (c *contact) isReaching(now time.Time) bool {
	return now.Sub(c.lastAnswer) <= answerLifetime || c.reachedAt.After(c.lastAnswer) && now.Sub(c.reachedAt) <= surveyLifetime
}

// isSurveyDue reports whether a survey is due. The pause after a survey in which this process has reached
// servers ends early when they stop answering.
func (c *contact) isSurveyDue(now time.Time) bool {
	return !now.Before(c.nextSurvey) || now.Sub(c.lastAnswer) > answerLifetime && now.Sub(c.lastSurvey) >= surveyInterval
}

// startSurvey returns the servers of the survey that is due, or none.
func (c *contact) startSurvey(now time.Time, registered []registry.Server) []registry.Server {
	if c.surveyPending || len(c.suspects) == 0 || !c.isSurveyDue(now) {
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
		return nil
	}
	shuffle(suspects)
	shuffle(others)
	c.surveyPending = true
	servers := suspects[:min(len(suspects), maxSurveyedServers-surveyedOthers)]
	return append(servers, others[:min(len(others), surveyedOthers)]...)
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
	// unanswered is true if other processes were asked and none has answered.
	unanswered bool
}

// finishSurvey records the result of a survey.
func (c *contact) finishSurvey(now time.Time, s survey) {
	c.surveyPending, c.surveyed, c.lastSurvey, c.nextSurvey = false, true, now, now.Add(surveyInterval)
	for i, server := range s.servers {
		if s.own[i] {
			delete(c.relays, server.Instance)
		}
	}
	c.lost = false
	switch {
	case slices.Contains(s.own, true):
		c.cutOffSince, c.reachedAt = time.Time{}, s.began
		c.nextSurvey = now.Add(idleSurveyInterval)
	case !slices.Contains(s.byOthers, true):
		// The servers are lost, or all processes are cut off. Without an answer of another process, this one
		// may be cut off from all but the store.
		c.cutOffSince, c.lost = time.Time{}, !s.unanswered
	case c.cutOffSince.IsZero():
		c.cutOffSince = s.began
	}
}

// isCutOff reports whether this process reaches no server while others do.
func (c *contact) isCutOff(now time.Time) bool {
	return !c.cutOffSince.IsZero() && now.Sub(c.cutOffSince) >= cutOffTimeout && now.Sub(c.lastSurvey) < evidenceLifetime
}
