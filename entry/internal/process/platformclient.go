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

// watchTimeout is how long one call of Watch waits for changes.
const watchTimeout = 20 * time.Second

// PlatformClient implements Platform with the HTTP client of the platform's object API.
type PlatformClient struct {
	client *platform.Client
	author string
}

// NewPlatformClient returns a client that writes objects under the given author's name.
func NewPlatformClient(c *platform.Client, author string) *PlatformClient {
	return &PlatformClient{client: c, author: author}
}

// List implements Platform.
func (c *PlatformClient) List(ctx context.Context, prefix string) ([]control.Object, int64, error) {
	objects, version, err := c.client.List(ctx, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("process: list objects: %w", err)
	}
	return decodeObjects(objects), version, nil
}

// errBatchReceived makes the client's watch return after one batch.
var errBatchReceived = errors.New("process: batch received")

// Watch implements Platform.
func (c *PlatformClient) Watch(ctx context.Context, prefix string, after int64) ([]control.Object, int64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var batch platform.Batch
	err := c.client.Watch(watchCtx, prefix, after, func(b platform.Batch) error {
		batch = b
		return errBatchReceived
	})
	switch {
	case errors.Is(err, errBatchReceived):
		return decodeObjects(batch.Objects), batch.Version, nil
	case watchCtx.Err() != nil && ctx.Err() == nil:
		return nil, after, nil
	}
	return nil, after, fmt.Errorf("process: watch objects: %w", err)
}

// Load implements Platform.
func (c *PlatformClient) Load(ctx context.Context, name string) (control.Object, bool, error) {
	object, err := c.client.Get(ctx, name)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return control.Object{Name: name, Version: notFound.Version, Deleted: true}, false, nil
	}
	if err != nil {
		return control.Object{}, false, fmt.Errorf("process: load %s: %w", name, err)
	}
	return decodeObject(object), true, nil
}

// Store implements Platform.
func (c *PlatformClient) Store(ctx context.Context, name string, value []byte, expected int64) (int64, controller.WriteResult) {
	version, err := c.client.Put(ctx, platform.Update{
		Name: name, Value: value, IfVersion: expected, Author: c.author, Change: rand.Text(),
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return version, controller.WriteStored
	case errors.As(err, &conflict) && !conflict.Uncertain:
		return conflict.Version, controller.WriteConflict
	}
	return 0, controller.WriteUnknown
}

// VMs implements Platform.
func (c *PlatformClient) VMs(ctx context.Context) (int64, []VM, error) {
	vmList, err := c.client.VMs(ctx)
	if err != nil {
		return 0, nil, fmt.Errorf("process: list VMs: %w", err)
	}
	vms := make([]VM, len(vmList.Items))
	for i, m := range vmList.Items {
		vms[i] = VM{Name: m.Name, Leaving: m.Leaving}
	}
	return vmList.Version, vms, nil
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
