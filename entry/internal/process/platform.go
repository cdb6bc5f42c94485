package process

import (
	"context"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// Platform is what the process needs of the platform's object API.
type Platform interface {
	// List and Watch serve the watcher.
	List(ctx context.Context, prefix string) (objects []control.Object, version int64, err error)
	Watch(ctx context.Context, prefix string, after int64) (objects []control.Object, version int64, err error)
	// Load returns an object, and false if there is none.
	Load(ctx context.Context, name string) (o control.Object, found bool, err error)
	// Store writes a value if the object's version is the expected one, zero for none.
	Store(ctx context.Context, name string, value []byte, expected int64) (version int64, result controller.Result)
	// VMs returns the list of VMs and its version.
	VMs(ctx context.Context) (version int64, vms []VM, err error)
}
