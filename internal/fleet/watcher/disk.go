package watcher

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"woodrouter/rollout"
)

// lastKnownGoodFile is the name of the file with the last known good, in the data directory.
const lastKnownGoodFile = "held"

// loadLastKnownGood reads the last known good. An unusable file is logged and moved aside; the documents are
// then fetched again, and the agent starts all the same.
func (w *Watcher) loadLastKnownGood() *rollout.DocumentSet {
	empty := rollout.NewDocumentSet(w.agent)
	if w.cfg.Data == "" {
		return empty
	}
	path := filepath.Join(w.cfg.Data, lastKnownGoodFile)
	data, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		w.log.Info("rollout: no last known good from an earlier run", "file", path)
		return empty
	case err != nil:
		w.log.Error("rollout: cannot read the last known good; fetching the documents", "file", path, "error", err)
		return empty
	}
	documents, err := rollout.DecodeDocumentSet(w.agent, data)
	if err == nil {
		return documents
	}
	aside := path + ".torn-" + time.Now().UTC().Format("20060102T150405.000")
	w.log.Error("rollout: the last known good is corrupt or another agent's; moved aside, fetching the documents", "file", path, "aside", aside, "error", err)
	if err := os.Rename(path, aside); err != nil {
		w.log.Warn("rollout: cannot move the unusable file aside", "file", path, "error", err)
	}
	return empty
}

// writeFileAtomically writes a file so that a crash at any moment leaves either the former content or data in
// it. Once it has returned without an error, a crash leaves data.
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
