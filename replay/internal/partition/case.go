package partition

import (
	"context"
)

const (
	// Centres is the smallest number of data centres that the cases need.
	Centres = 3
	// AllCases is the name that selects all cases.
	AllCases = "cuts"
)

// Case is a network partition and the keys that are looked up during it.
type Case struct {
	Name string
	// chooseTargets selects the entry VMs to cut off and the keys to look up.
	chooseTargets func(ctx context.Context, s *caseState) error
	// cut starts the partition.
	cut func(s *caseState)
	// silencesConnections is true if the cut must silence at least one open connection.
	silencesConnections bool
}

// Cases returns all cases in the order in which they run.
func Cases() []Case {
	return []Case{
		{Name: "centre-cut", chooseTargets: chooseCentre(false), cut: func(s *caseState) {
			s.cut(s.inside, s.outside)
			s.cutPlatform(s.inside)
		}},
		{Name: "entry-cut", chooseTargets: chooseController, cut: func(s *caseState) {
			s.cut(s.inside, s.outside)
			s.cutPlatform(s.inside)
		}},
		{Name: "platform-cut", chooseTargets: chooseCentre(true), cut: func(s *caseState) { s.cutPlatform(s.inside) }},
		{Name: "silent-peers", chooseTargets: choosePeers, silencesConnections: true, cut: func(s *caseState) { s.silence() }},
	}
}

// IsCaseName reports whether the name selects a case of this package, or all of them.
func IsCaseName(name string) bool {
	for _, c := range Cases() {
		if c.Name == name {
			return true
		}
	}
	return name == AllCases
}
