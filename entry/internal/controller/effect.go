package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// Kind says what an Effect asks for.
type Kind uint8

// The kinds of effects, each with the method that takes its result.
const (
	// SendSupport sends Support to To; SupportAnswered takes the answer.
	SendSupport Kind = iota
	// SendResign sends Resign to To; no answer is needed.
	SendResign
	// StoreTable writes Table if the platform's version is Expected; TableStored takes the result.
	StoreTable
	// LoadTable reads the table object; TableLoaded takes the result.
	LoadTable
	// StoreSuccession writes Succession if the platform's version is Expected; SuccessionStored takes the result.
	StoreSuccession
	// LoadSuccession reads the succession record; SuccessionLoaded takes the result.
	LoadSuccession
)

// Effect is work that the caller carries out for the state machine. What it
// points to is shared and must not be changed.
type Effect struct {
	Kind Kind
	To   control.Member
	// Sent is the time to pass to SupportAnswered.
	Sent       time.Time
	Support    *control.SupportRequest
	Resign     *control.ResignRequest
	Table      *control.Table
	Succession *control.Succession
	Expected   int64
}

func (c *Controller) emit(e Effect) {
	c.effects = append(c.effects, e)
}
