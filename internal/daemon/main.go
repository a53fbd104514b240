package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Main is the program: it reads its configuration, serves until a signal, and returns
// the exit code.
func Main(args []string, env func(string) string, out, errs io.Writer) int {
	if err := serve(env, errs); err != nil {
		fmt.Fprintln(errs, "woodrouter:", err)
		return 1
	}
	return 0
}

func serve(env func(string) string, logs io.Writer) error {
	cfg, err := ReadConfig(env("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if env("WOODROUTER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: level}))
	Limit(cfg.Limits)
	d, err := New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return d.Run(ctx)
}
