// Package disk keeps a controller's durable state in one data folder: the
// identity of the replica, the newest snapshot and the log after it.
//
// Every file is made of checksummed records. A record is written and synced
// before anything in it is acknowledged. Whole files are replaced by rename,
// followed by a sync of the folder. A last record that did not reach
// the disk whole is cut off when the log is opened; damage that a whole record
// follows is refused with ErrDamaged.
package disk
