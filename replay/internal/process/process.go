// Package process runs a program as a child process and makes sure that it ends.
//
// The kernel kills a child when its parent dies, so that a killed test tool leaves no
// process behind.
//
// # Usage
//
//	p, err := process.Start("entry tvm-1", "bin/entry", []string{"--settings", file}, log)
//	defer p.Kill()
//	err = p.Stop(ctx)
package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
)

// Process is a running or ended child process.
type Process struct {
	Name    string
	command *exec.Cmd
	// done is closed when the process has ended. err is then the result of its Wait.
	done chan struct{}
	err  error
}

// Start starts a program. Its standard output and standard error go to output.
func Start(name, path string, args []string, output io.Writer) (*Process, error) {
	c := exec.Command(path, args...)
	c.Stdout, c.Stderr = output, output
	// A separate process group keeps Ctrl-C in the terminal from reaching the child, so
	// that the parent can stop its children in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("process: start %s: %w", name, err)
	}
	p := &Process{Name: name, command: c, done: make(chan struct{})}
	go func() {
		p.err = c.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process identifier.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("process: signal %s to %s: %w", s, p.Name, err)
	}
	return nil
}

// Wait waits until the process has ended, and returns an error unless it exited with
// code 0.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		return fmt.Errorf("process: %s has not ended: %w", p.Name, ctx.Err())
	}
	if p.err != nil {
		return fmt.Errorf("process: %s: %w", p.Name, p.err)
	}
	return nil
}

// Stop sends SIGTERM and waits until the process has ended. It kills the process if
// ctx ends first.
func (p *Process) Stop(ctx context.Context) error {
	if !p.Ended() {
		if err := p.Signal(syscall.SIGTERM); err != nil && !p.Ended() {
			return err
		}
	}
	if err := p.Wait(ctx); err != nil {
		p.Kill()
		return err
	}
	return nil
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	// An error means that the process has already ended.
	_ = p.command.Process.Kill()
	<-p.done
}
