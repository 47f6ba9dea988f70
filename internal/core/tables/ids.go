// Package tables defines the two tables that operators write, routes and pools,
// with their parsing, validation and comparison, and the accepted configuration
// that joins them.
package tables

// A ClassID names a class of requests within a service.
type ClassID string

// A DataCenterID names a data centre.
type DataCenterID string

// An InstanceID names an instance.
type InstanceID string

// A MicroCost is an amount of money in millionths of the billing unit.
type MicroCost int64

// A Millis is a duration in milliseconds, as in the tables.
type Millis int64

// A ModelID names a model.
type ModelID string

// A PoolID names a row of the pools table.
type PoolID string

// A ServiceID names a service that callers ask for.
type ServiceID string

// A TeamID names a team.
type TeamID string

// A Tokens is a number of tokens.
type Tokens int64

// An UpstreamID names an upstream server.
type UpstreamID string

// A VersionID names a version of a model.
type VersionID string
