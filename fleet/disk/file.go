package disk

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// replaceFile replaces the file name in folder by data so that a crash leaves
// either the old or the new content: it writes and syncs a temporary file, renames
// it over name and syncs the folder.
func replaceFile(folder, name string, data []byte) error {
	temporary := filepath.Join(folder, name+".new")
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return merry.Prepend(err, "create "+name)
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return merry.Prepend(err, "write "+name)
	}
	if err := f.Sync(); err != nil {
		return merry.Prepend(err, "sync "+name)
	}
	if err := os.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return merry.Prepend(err, "rename "+name)
	}
	return syncFolder(folder)
}

// syncFolder makes renames, creations and removals in the folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return merry.Prepend(err, "open the data folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return merry.Prepend(err, "sync the data folder")
	}
	return nil
}

// acquireLock takes an exclusive lock on the folder without waiting. It returns
// ErrLocked when another process holds the lock.
func (s *Store) acquireLock() error {
	f, err := os.OpenFile(filepath.Join(s.folder, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return merry.Prepend(err, "open the lock file")
	}
	s.lock = f
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return merry.Prependf(ErrLocked, "%s", s.folder)
	}
	return nil
}
