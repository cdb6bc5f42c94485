package configuration

import (
	"regexp"
	"strings"
)

// Names of the platform objects that operators write.
const (
	ServicePrefix = "services/"
	LeavingPrefix = "leaving/"
	PresetsObject = "preset"
)

// NameRule describes the names that ValidName accepts, for error messages. Names are parts of
// object names and of pairs such as seat-desk@tvm, so "/" and "@" are excluded.
const NameRule = "1 to 63 lower-case letters, digits, '-' and '.', with a letter or digit first"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// ValidName reports whether a service, upstream, data centre or VM may have the name.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ServiceObject returns the name of the platform object of a service.
func ServiceObject(service string) string {
	return ServicePrefix + service
}

// LeavingObject returns the name of the platform object that marks a VM as leaving.
func LeavingObject(vm string) string {
	return LeavingPrefix + vm
}

// ServiceFromObject returns the service whose object has the given name.
func ServiceFromObject(object string) (service string, ok bool) {
	service, ok = strings.CutPrefix(object, ServicePrefix)
	return service, ok && ValidName(service)
}

// VMFromObject returns the VM whose leaving mark has the given name.
func VMFromObject(object string) (vm string, ok bool) {
	vm, ok = strings.CutPrefix(object, LeavingPrefix)
	return vm, ok && ValidName(vm)
}
