package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"woodrouter/internal/fleet/control"
	"woodrouter/internal/fleet/replica"
)

type replicaCommand struct {
	Config    string `arg:"" help:"The operators' file (YAML) of the member, as deploy/replica.yaml, or of a control machine, as deploy/control.yaml."`
	LogFormat string `help:"text (key=value) or json, one line each." enum:"text,json" default:"text"`
}

// runReplica runs one member of a group that replicates promises or, if its file has a rollout section, a
// control machine, until SIGTERM or SIGINT. It returns an error before it joins the group if the file or the
// data directory can't be used.
func runReplica(c replicaCommand, logs io.Writer) error {
	var handler slog.Handler = slog.NewTextHandler(logs, nil)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(logs, nil)
	}
	log := slog.New(handler)
	open := openMember
	if control.IsConfigFile(c.Config) {
		open = openControl
	}
	end, log, err := open(c.Config, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	log.Info("member stopping")
	return end()
}

// openMember starts a member of a group that replicates promises. It returns the function that stops it, and
// the log with the member's name.
func openMember(path string, log *slog.Logger) (end func() error, _ *slog.Logger, err error) {
	cfg, err := replica.LoadConfig(path)
	if err != nil {
		return nil, nil, err
	}
	log = log.With("member", cfg.ID)
	n, err := replica.Open(cfg, log)
	if err != nil {
		return nil, nil, err
	}
	ln, err := n.Serve()
	if err != nil {
		n.Close()
		return nil, nil, err
	}
	log.Info("member started", "raft", cfg.Raft, "client", ln.Addr().String(), "data", cfg.Data)
	return func() error { ln.Close(); return n.Close() }, log, nil
}

// openControl starts a control machine. Its results are those of openMember.
func openControl(path string, log *slog.Logger) (end func() error, _ *slog.Logger, err error) {
	cfg, err := control.LoadConfig(path)
	if err != nil {
		return nil, nil, err
	}
	log = log.With("member", cfg.ID)
	n, err := control.Open(cfg, log)
	if err != nil {
		return nil, nil, err
	}
	if err := n.Serve(); err != nil {
		n.Close()
		return nil, nil, err
	}
	log.Info("control machine started", "raft", cfg.Raft, "client", cfg.Client, "data", cfg.Data)
	return n.Close, log, nil
}
