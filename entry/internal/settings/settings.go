// Package settings gives the entry process its settings.
//
// # Usage
//
//	s, err := settings.Parse(data)
//	if err != nil {
//		return fmt.Errorf("settings %s: %w", file, err)
//	}
package settings

import "bramleystand.org/common/entrysettings"

// Settings of one entry process. They are defined in common because the operators'
// command checks a file in the same way.
type Settings = entrysettings.Settings

// Parse reads and validates a settings file and reports all errors at once.
func Parse(data []byte) (Settings, error) {
	return entrysettings.Parse(data)
}
