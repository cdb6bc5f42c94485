package controller

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

// Kind is the kind of work that an Effect requests.
type Kind uint8

// The kinds of effects, each with the method to which the caller passes the result.
const (
	// SendSupport sends Support to To; HandleSupportResponse takes the response.
	SendSupport Kind = iota
	// SendResign sends Resign to To; no response is needed.
	SendResign
	// StoreTable writes Table if the object's version on the platform is ExpectedVersion; TableStored takes the result.
	StoreTable
	// LoadTable reads the table from the platform; TableLoaded takes the result.
	LoadTable
	// StoreSuccession writes Succession if the record's version on the platform is ExpectedVersion; SuccessionStored
	// takes the result.
	StoreSuccession
	// LoadSuccession reads the succession record from the platform; SuccessionLoaded takes the result.
	LoadSuccession
)

// Effect is work that the caller carries out for the state machine. The values
// that it points to are shared and must not be modified.
type Effect struct {
	Kind Kind
	To   control.Member
	// Sent is the send time to pass to HandleSupportResponse.
	Sent            time.Time
	Support         *control.SupportRequest
	Resign          *control.ResignRequest
	Table           *control.Table
	Succession      *control.Succession
	ExpectedVersion int64
}

func (c *Controller) emit(e Effect) {
	c.effects = append(c.effects, e)
}
