// Package choice ranks the shards of a service for one request by the load that their owners last reported.
package choice
