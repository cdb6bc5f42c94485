// Package settings reads the settings file of the entry process.
//
// # Usage
//
//	s, err := settings.Parse(data)
//	if err != nil {
//		return fmt.Errorf("settings %s: %w", file, err)
//	}
package settings

import "bramleystand.org/common/entrysettings"

// Settings are the settings of one entry process. They are defined in the common module
// because the bramleyctl command checks settings files in the same way.
type Settings = entrysettings.Settings

// Parse reads and validates a settings file and reports all errors at once.
func Parse(data []byte) (Settings, error) {
	return entrysettings.Parse(data)
}
