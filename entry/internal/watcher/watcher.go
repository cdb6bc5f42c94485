// Package watcher brings the objects of the platform into the directory while this
// member is one of those of its data centre that watch the platform.
//
// A watcher lists all objects, then waits for changes. After any error it waits,
// lists again and goes on from there, so that nothing is missed in an outage. What
// it reads goes into the directory, which ignores versions that are not newer; the
// other members receive it from there.
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
	// settle is the time after the start in which the other members become known. Without
	// it every process of a restarted fleet would take itself for a watcher and list.
	settle = time.Second
	// minPause and maxPause bound the random time between an error and the next attempt;
	// minPause also follows a watch without result.
	// It spreads the lists after an outage and leaves most of the 10 s in which a change
	// has to be in force for the exchanges between members.
	minPause = 500 * time.Millisecond
	maxPause = 1500 * time.Millisecond
)

// Platform is the object API. Objects of all names and tombstones are included.
type Platform interface {
	// List returns the newest version of every object and the version of the whole listing.
	List(ctx context.Context, prefix string) (objects []control.Object, version int64, err error)
	// Watch waits for versions after the given one and returns them in order, with the
	// version to go on from. It returns without objects after some time.
	Watch(ctx context.Context, prefix string, after int64) (objects []control.Object, version int64, err error)
}

// Directory receives the objects and says whether this member watches.
type Directory interface {
	PutObject(now time.Time, o control.Object) bool
	Watching() bool
	Subscribe() (changed <-chan struct{}, cancel func())
}

// Watcher watches the platform for one member.
type Watcher struct {
	platform  Platform
	directory Directory
	logger    log.Interface
}

// New returns a watcher that does nothing until Run.
func New(platform Platform, directory Directory, logger log.Interface) *Watcher {
	return &Watcher{platform: platform, directory: directory, logger: logger}
}

// Run watches whenever the directory says so, until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	changed, cancel := w.directory.Subscribe()
	defer cancel()
	if !wait(ctx, settle) {
		return ctx.Err()
	}
	for ctx.Err() == nil {
		if !w.directory.Watching() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := w.watchWhileChosen(ctx, changed)
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.logger.WithError(err).Warn("watch of the platform interrupted")
		wait(ctx, minPause+rand.N(maxPause-minPause))
	}
	return ctx.Err()
}

// watchWhileChosen watches until an error or until other members are the watchers.
func (w *Watcher) watchWhileChosen(ctx context.Context, changed <-chan struct{}) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	result := make(chan error, 1)
	go func() { result <- w.watch(ctx) }()
	for {
		select {
		case err := <-result:
			return err
		case <-changed:
			if w.directory.Watching() {
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

// watch lists all objects and follows their changes until an error.
func (w *Watcher) watch(ctx context.Context) error {
	objects, version, err := w.platform.List(ctx, "")
	if err != nil {
		return fmt.Errorf("watcher: list: %w", err)
	}
	w.put(objects)
	for {
		objects, next, err := w.platform.Watch(ctx, "", version)
		if err != nil {
			return fmt.Errorf("watcher: watch after version %d: %w", version, err)
		}
		w.put(objects)
		if len(objects) == 0 && next <= version && !wait(ctx, minPause) {
			return fmt.Errorf("watcher: watch after version %d: %w", version, ctx.Err())
		}
		version = max(version, next)
	}
}

func (w *Watcher) put(objects []control.Object) {
	for _, o := range objects {
		w.directory.PutObject(time.Now(), o)
	}
}

// wait returns false if the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
