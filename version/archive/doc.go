// Package archive stores the accepted configuration in the platform: one head object with the version and the
// history, and one object for each group of services.
//
// The head changes only by conditional update, and that one write puts a version in force. Group objects are written
// before it under names that no writer ever uses again, so that a reader of any head finds exactly the groups that it
// names, or none. A group that the newest head no longer names is deleted by the writer of that head.
package archive
