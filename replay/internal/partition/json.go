package partition

import (
	"encoding/json"
	"fmt"
	"io"

	"bramleystand.org/replay/internal/oracle"
)

// resultJSON is a result in the JSON output; times are in milliseconds.
type resultJSON struct {
	Case         string              `json:"case"`
	Groups       []groupJSON         `json:"groups"`
	Processes    []processJSON       `json:"processes"`
	Rules        map[oracle.Rule]int `json:"rules"`
	BrokenBounds []string            `json:"broken"`
}

// groupJSON is the result of a group of keys.
type groupJSON struct {
	Name                string  `json:"name"`
	MustServe           bool    `json:"mustServe"`
	Lookups             int     `json:"lookups"`
	Share               float64 `json:"share"`
	LongestGapDuringCut int64   `json:"gap"`
	Refused             int     `json:"notRun"`
	Unknown             int     `json:"unknown"`
	Lost                int     `json:"lost"`
	Late                int     `json:"late"`
	WrongResponses      int     `json:"wrong"`
	RecoveryTime        int64   `json:"healed"`
	UnservedKeys        int     `json:"missing"`
}

// processJSON is the result of an entry process.
type processJSON struct {
	Name       string `json:"name"`
	Before     int64  `json:"before"`
	During     int64  `json:"during"`
	After      int64  `json:"after"`
	SwitchTime int64  `json:"followed"`
	Reverts    int    `json:"reverted"`
}

// WriteJSON writes results as a JSON array.
func WriteJSON(w io.Writer, results []*Result) error {
	output := []resultJSON{}
	for _, r := range results {
		j := resultJSON{Case: r.Case, Rules: r.Rules, BrokenBounds: r.BrokenBounds()}
		for _, g := range r.Groups {
			j.Groups = append(j.Groups, groupJSON{
				Name: g.Name, MustServe: g.MustServe, Lookups: g.Lookups, Share: g.ranPercentage(), LongestGapDuringCut: g.LongestGapDuringCut.Milliseconds(),
				Refused: g.Refused, Unknown: g.Unknown, Lost: g.Lost, Late: g.Late, WrongResponses: g.WrongResponses,
				RecoveryTime: g.RecoveryTime.Milliseconds(), UnservedKeys: g.UnservedKeys,
			})
		}
		for _, p := range r.Processes {
			j.Processes = append(j.Processes, processJSON{
				Name: p.Name, Before: p.Before, During: p.During, After: p.After,
				SwitchTime: p.SwitchTime.Milliseconds(), Reverts: p.Reverts,
			})
		}
		output = append(output, j)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(output); err != nil {
		return fmt.Errorf("partition: write results: %w", err)
	}
	return nil
}
