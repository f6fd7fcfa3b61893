// Package patch defines changes of the configuration and the rules by which they are accepted for all VMs or refused. A
// patch has its own id and names the version that it was made against.
package patch
