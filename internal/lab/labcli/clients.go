package labcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"woodrouter/internal/lab/clientlab"
)

// clientsCommand is the command clients.
type clientsCommand struct {
	Kind        string        `help:"What the clients do: crowd, flood or leave." default:"crowd" enum:"crowd,flood,leave"`
	Only        string        `help:"Play only the trials whose names hold this text."`
	Front       string        `help:"Play only the trials on this front: binary or api."`
	Clients     int           `help:"Clients at once; of leave: requests that are unread as a client leaves." default:"300"`
	Span        time.Duration `help:"How long each trial lasts." default:"8s"`
	MemoryMB    int           `help:"The agent's memory limit, in MB." default:"192"`
	Descriptors int           `help:"The agent's limit of descriptors." default:"1024"`
}

// run plays the trials one after another and prints their figures.
func (c clientsCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	switch c.Kind {
	case "flood":
		for i, kind := range clientlab.Floods {
			if c.selected(kind.Name, kind.Front) {
				report, err := clientlab.PlayFlood(ctx, c.config(bin, dir, i), kind)
				c.print(out, kind.Name, kind.Front, report, err)
			}
		}
	case "leave":
		for i, kind := range clientlab.Departures {
			if c.selected(kind.Name, kind.Front) {
				report, err := clientlab.PlayDeparture(ctx, c.config(bin, dir, i), kind)
				c.print(out, kind.Name, kind.Front, report, err)
			}
		}
	default:
		for i, kind := range clientlab.Crowds {
			if c.selected(kind.Name, kind.Front) {
				report, err := clientlab.PlayCrowd(ctx, c.config(bin, dir, i), kind)
				c.print(out, kind.Name, kind.Front, report, err)
			}
		}
	}
	return ctx.Err()
}

func (c clientsCommand) selected(name string, front clientlab.Front) bool {
	return strings.Contains(name, c.Only) && (c.Front == "" || c.Front == string(front))
}

func (c clientsCommand) config(bin, dir string, trial int) clientlab.Config {
	trialDir := filepath.Join(dir, fmt.Sprintf("clients-%s-%d", c.Kind, trial))
	os.MkdirAll(trialDir, 0o700) // if it fails, the trial can't write its files there and says so
	return clientlab.Config{Bin: bin, Dir: trialDir, Limits: clientlab.Limits{MemoryMB: c.MemoryMB, Descriptors: c.Descriptors}, Clients: c.Clients, Span: c.Span}
}

func (c clientsCommand) print(out io.Writer, name string, front clientlab.Front, report fmt.Stringer, err error) {
	fmt.Fprintf(out, "%s, %s: %v\n", front, name, report)
	if err != nil {
		fmt.Fprintf(out, "    not played: %v\n", err)
	}
}
