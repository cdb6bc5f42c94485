// Package watcher copies the objects of the platform into the directory while this
// member is one of those in its data centre that watch the platform.
//
// A watcher lists all objects and then watches for changes. After any error it waits,
// lists all objects again and watches from there, so that no change is missed in an
// outage. The directory ignores versions that are not newer, and passes the others on
// to the other members.
//
// # Usage
//
//	w := watcher.New(platform, directory, logger)
//	err := w.Run(ctx) // until ctx ends
package watcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/control"
)

const (
	// startDelay is the time after the start in which the other members become known. Without
	// it, every process would act as a watcher and list all objects when all are restarted.
	startDelay = time.Second
	// minRetryDelay and maxRetryDelay bound the random delay between an error and the next attempt.
	// The delay spreads the list calls after an outage, and leaves most of the 10 s within which a
	// change must be in force for the exchanges between members. minRetryDelay is also the delay
	// after a watch that returned neither an object nor a newer version.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// Platform is the object API of the platform. With the empty prefix, objects of all names are returned, and deleted
// objects are included.
type Platform interface {
	// List returns the newest version of every object and the version of the whole listing.
	List(ctx context.Context, prefix string) (objects []control.Object, version int64, err error)
	// Watch waits for versions after the given one and returns them in order, with the
	// version to continue from. If there are none for some time, it returns without objects.
	Watch(ctx context.Context, prefix string, after int64) (objects []control.Object, version int64, err error)
}

// Directory receives the objects and tells whether this member must watch the platform.
type Directory interface {
	PutObject(now time.Time, o control.Object) bool
	WatchesPlatform() bool
	Subscribe() (changed <-chan struct{}, cancel func())
}

// Watcher watches the platform for one member.
type Watcher struct {
	platform  Platform
	directory Directory
	logger    log.Interface
}

// New returns a watcher, which does nothing until Run is called.
func New(platform Platform, directory Directory, logger log.Interface) *Watcher {
	return &Watcher{platform: platform, directory: directory, logger: logger}
}

// Run watches the platform while the directory says that this member must, until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	changed, cancel := w.directory.Subscribe()
	defer cancel()
	if !sleep(ctx, startDelay) {
		return ctx.Err()
	}
	for ctx.Err() == nil {
		if !w.directory.WatchesPlatform() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := w.watchWhileAssigned(ctx, changed)
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.logger.WithError(err).Warn("watch of the platform failed")
		sleep(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
	}
	return ctx.Err()
}

// watchWhileAssigned watches until an error occurs, or until this member is no longer one of the watchers.
func (w *Watcher) watchWhileAssigned(ctx context.Context, changed <-chan struct{}) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	result := make(chan error, 1)
	go func() { result <- w.watch(ctx) }()
	for {
		select {
		case err := <-result:
			return err
		case <-changed:
			if w.directory.WatchesPlatform() {
				continue
			}
			stop()
			if err := <-result; !errors.Is(err, context.Canceled) {
				return err
			}
			return nil
		}
	}
}

// watch lists all objects and follows their changes until an error occurs.
func (w *Watcher) watch(ctx context.Context) error {
	objects, version, err := w.platform.List(ctx, "")
	if err != nil {
		return fmt.Errorf("watcher: list: %w", err)
	}
	w.putObjects(objects)
	for {
		objects, nextVersion, err := w.platform.Watch(ctx, "", version)
		if err != nil {
			return fmt.Errorf("watcher: watch after version %d: %w", version, err)
		}
		w.putObjects(objects)
		if len(objects) == 0 && nextVersion <= version && !sleep(ctx, minRetryDelay) {
			return fmt.Errorf("watcher: watch after version %d: %w", version, ctx.Err())
		}
		version = max(version, nextVersion)
	}
}

func (w *Watcher) putObjects(objects []control.Object) {
	for _, o := range objects {
		w.directory.PutObject(time.Now(), o)
	}
}

// sleep waits for the duration and returns true, or false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
