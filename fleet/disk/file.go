package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// temporarySuffix ends the names of files that are to replace others.
const temporarySuffix = ".new"

// replaceFile replaces the file name in folder by data so that a crash leaves
// either the old or the new content: it writes and syncs a temporary file, renames
// it over name and syncs the folder. After an error before the rename it removes the
// temporary file, since the disk may be full.
func replaceFile(folder, name string, data []byte) error {
	temporary := filepath.Join(folder, name+temporarySuffix)
	if err := writeFile(temporary, data); err != nil {
		return merry.Prepend(errors.Join(err, removeFile(temporary)), "replace "+name)
	}
	if err := os.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return merry.Prepend(err, "rename "+name)
	}
	return syncFolder(folder)
}

// writeFile writes and syncs a file.
func writeFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return merry.Prepend(err, "create")
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return merry.Prepend(err, "write")
	}
	if err := f.Sync(); err != nil {
		return merry.Prepend(err, "sync")
	}
	return nil
}

// removeFile removes a file if it exists.
func removeFile(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prepend(err, "remove")
	}
	return nil
}

// removeTemporary removes the temporary files that a crash has left, which may take the
// space of what is to be written.
func removeTemporary(folder string) error {
	for _, name := range []string{identityFile, snapshotFile, logFile} {
		if err := removeFile(filepath.Join(folder, name+temporarySuffix)); err != nil {
			return err
		}
	}
	return nil
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
