package soak

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lacewingsaddle/lacewingsaddle/edge"
	"github.com/lacewingsaddle/lacewingsaddle/platform"
	"github.com/lacewingsaddle/lacewingsaddle/platform/entryhost"
	"github.com/lacewingsaddle/lacewingsaddle/platform/platformtest"
)

// process is one run of an entry host, from its start until it has ended.
type process interface {
	signal(s syscall.Signal)
	// wait returns when the process has ended. The error is nil after a planned stop.
	wait() error
}

// programProcess runs the entry host's program.
type programProcess struct{ cmd *exec.Cmd }

// startProgram starts a program with its settings. Its output goes to log.
func startProgram(path, settingsPath string, log *os.File) (process, error) {
	cmd := exec.Command(path)
	cmd.Env = []string{platformtest.SettingsVariable + "=" + settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = log.Close() // the process has its own descriptor
	return programProcess{cmd}, nil
}

func (p programProcess) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

func (p programProcess) wait() error { return p.cmd.Wait() }

// localProcess runs an entry host in this process. It handles SIGTERM,
// SIGKILL and SIGHUP; only the first of SIGTERM and SIGKILL counts.
type localProcess struct {
	host     *edge.Host
	settings platform.Settings
	log      *os.File
	ending   sync.Once
	ended    chan struct{}
	err      error // of the stop; read it when ended is closed
}

// startLocal starts a host with its settings, as the entry host's program does. It logs
// to log.
func startLocal(settingsPath string, log *os.File) (process, error) {
	data, err := os.ReadFile(settingsPath)
	if err != nil {
		return nil, err
	}
	settings, err := platform.ParseSettings(data)
	if err != nil {
		return nil, err
	}
	logger := zap.New(zapcore.NewCore(entryhost.NewEncoder(), log, zapcore.InfoLevel))
	p := &localProcess{
		host:     entryhost.New(settings, logger),
		settings: settings,
		log:      log,
		ended:    make(chan struct{}),
	}
	return p, p.host.Start(context.Background())
}

func (p *localProcess) signal(s syscall.Signal) {
	switch s {
	case syscall.SIGTERM:
		p.end(func() error { return p.host.Stop(context.Background()) })
	case syscall.SIGKILL:
		p.end(func() error { p.host.Kill(); return nil })
	case syscall.SIGHUP:
		p.host.Reload(entryhost.Options(p.settings))
	}
}

// end ends the host with f, unless it is ending.
func (p *localProcess) end(f func() error) {
	p.ending.Do(func() {
		go func() {
			defer close(p.ended)
			p.err = f()
			_ = p.log.Close() // requests that were given up may still try to log
		}()
	})
}

func (p *localProcess) wait() error {
	<-p.ended
	return p.err
}
