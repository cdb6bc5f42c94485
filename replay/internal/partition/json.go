package partition

import (
	"encoding/json"
	"fmt"
	"io"

	"bramleystand.org/replay/internal/oracle"
)

// resultJSON is a result in the JSON output; times are in milliseconds.
type resultJSON struct {
	Case      string              `json:"case"`
	Groups    []groupJSON         `json:"groups"`
	Processes []processJSON       `json:"processes"`
	Rules     map[oracle.Rule]int `json:"rules"`
	Broken    []string            `json:"broken"`
}

type groupJSON struct {
	Name      string  `json:"name"`
	MustServe bool    `json:"mustServe"`
	Lookups   int     `json:"lookups"`
	Share     float64 `json:"share"`
	Gap       int64   `json:"gap"`
	Refused   int     `json:"notRun"`
	Unknown   int     `json:"unknown"`
	Lost      int     `json:"lost"`
	Late      int     `json:"late"`
	Wrong     int     `json:"wrong"`
	Healed    int64   `json:"healed"`
	Missing   int     `json:"missing"`
}

type processJSON struct {
	Name     string `json:"name"`
	Before   int64  `json:"before"`
	During   int64  `json:"during"`
	After    int64  `json:"after"`
	Followed int64  `json:"followed"`
	Reverted int    `json:"reverted"`
}

// WriteJSON writes results as a JSON array.
func WriteJSON(w io.Writer, results []*Result) error {
	list := []resultJSON{}
	for _, r := range results {
		j := resultJSON{Case: r.Case, Rules: r.Rules, Broken: r.Broken()}
		for _, g := range r.Groups {
			j.Groups = append(j.Groups, groupJSON{
				Name: g.Name, MustServe: g.MustServe, Lookups: g.Lookups, Share: g.share(), Gap: g.Gap.Milliseconds(),
				Refused: g.Refused, Unknown: g.Unknown, Lost: g.Lost, Late: g.Late, Wrong: g.Wrong,
				Healed: g.Healed.Milliseconds(), Missing: g.Missing,
			})
		}
		for _, p := range r.Processes {
			j.Processes = append(j.Processes, processJSON{
				Name: p.Name, Before: p.Before, During: p.During, After: p.After,
				Followed: p.Followed.Milliseconds(), Reverted: p.Reverted,
			})
		}
		list = append(list, j)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(list); err != nil {
		return fmt.Errorf("partition: write results: %w", err)
	}
	return nil
}
