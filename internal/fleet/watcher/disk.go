package watcher

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"woodrouter/rollout"
)

// lastKnownGoodFile is the file of the last known good in the data directory.
const lastKnownGoodFile = "held"

// loadLastKnownGood reads the last known good. A file that can't be used is named in the log and moved
// aside; it costs a fetch, never the start.
func (w *Watcher) loadLastKnownGood() *rollout.DocumentSet {
	none := rollout.NewDocumentSet(w.agent)
	if w.cfg.Data == "" {
		return none
	}
	path := filepath.Join(w.cfg.Data, lastKnownGoodFile)
	data, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		w.log.Info("rollout: nothing kept from an earlier run", "file", path)
		return none
	case err != nil:
		w.log.Error("rollout: the last known good can't be read; it is fetched", "file", path, "error", err)
		return none
	}
	held, err := rollout.DecodeDocumentSet(w.agent, data)
	if err == nil {
		return held
	}
	aside := path + ".torn-" + time.Now().UTC().Format("20060102T150405.000")
	w.log.Error("rollout: the last known good is torn or another's; moved aside and fetched", "file", path, "aside", aside, "error", err)
	if err := os.Rename(path, aside); err != nil {
		w.log.Warn("rollout: torn file not moved aside", "file", path, "error", err)
	}
	return none
}

// writeFileAtomically puts data in a file such that after a crash at any moment there is the former
// content or this, and after its return this.
func writeFileAtomically(path string, data []byte) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
