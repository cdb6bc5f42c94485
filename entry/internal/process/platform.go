package process

import (
	"context"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// Platform is the part of the platform's object API that the process uses.
type Platform interface {
	// List and Watch implement watcher.Platform.
	List(ctx context.Context, prefix string) (objects []control.Object, version int64, err error)
	Watch(ctx context.Context, prefix string, after int64) (objects []control.Object, version int64, err error)
	// Load returns an object; found is false if there is none.
	Load(ctx context.Context, name string) (o control.Object, found bool, err error)
	// Store writes a value if the object has the expected version; zero stands for an
	// object that doesn't exist.
	Store(ctx context.Context, name string, value []byte, expected int64) (version int64, result controller.WriteResult)
	// VMs returns the list of VMs and its version.
	VMs(ctx context.Context) (version int64, vms []VM, err error)
}
