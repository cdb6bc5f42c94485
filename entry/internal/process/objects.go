package process

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"bramleystand.org/common/platform"
	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// watchTime is how long one call of Watch waits for changes.
const watchTime = 20 * time.Second

// Objects implements Platform with the client of the object API.
type Objects struct {
	client *platform.Client
	author string
}

// NewObjects returns the platform as seen by the named author.
func NewObjects(c *platform.Client, author string) *Objects {
	return &Objects{client: c, author: author}
}

// List implements Platform.
func (o *Objects) List(ctx context.Context, prefix string) ([]control.Object, int64, error) {
	objects, version, err := o.client.List(ctx, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("process: list objects: %w", err)
	}
	return decodeObjects(objects), version, nil
}

// errBatch ends the client's watch after one batch.
var errBatch = errors.New("process: batch received")

// Watch implements Platform.
func (o *Objects) Watch(ctx context.Context, prefix string, after int64) ([]control.Object, int64, error) {
	bounded, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	var batch platform.Batch
	err := o.client.Watch(bounded, prefix, after, func(b platform.Batch) error {
		batch = b
		return errBatch
	})
	switch {
	case errors.Is(err, errBatch):
		return decodeObjects(batch.Objects), batch.Version, nil
	case bounded.Err() != nil && ctx.Err() == nil:
		return nil, after, nil
	}
	return nil, after, fmt.Errorf("process: watch objects: %w", err)
}

// Load implements Platform.
func (o *Objects) Load(ctx context.Context, name string) (control.Object, bool, error) {
	object, err := o.client.Get(ctx, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return control.Object{Name: name, Version: missing.Version, Deleted: true}, false, nil
	}
	if err != nil {
		return control.Object{}, false, fmt.Errorf("process: load %s: %w", name, err)
	}
	return decodeObject(object), true, nil
}

// Store implements Platform.
func (o *Objects) Store(ctx context.Context, name string, value []byte, expected int64) (int64, controller.Result) {
	version, err := o.client.Put(ctx, platform.Update{
		Name: name, Value: value, IfVersion: expected, Author: o.author, Change: rand.Text(),
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return version, controller.Stored
	case errors.As(err, &conflict) && !conflict.Uncertain:
		return conflict.Version, controller.Conflict
	}
	return 0, controller.Unknown
}

// VMs implements Platform.
func (o *Objects) VMs(ctx context.Context) (int64, []VM, error) {
	list, err := o.client.VMs(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("process: list VMs: %w", err)
	}
	vms := make([]VM, len(list.All))
	for i, m := range list.All {
		vms[i] = VM{Name: m.Name, Leaving: m.Leaving}
	}
	return list.Version, vms, nil
}

func decodeObjects(in []platform.Object) []control.Object {
	out := make([]control.Object, len(in))
	for i, o := range in {
		out[i] = decodeObject(o)
	}
	return out
}

func decodeObject(o platform.Object) control.Object {
	return control.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
}
