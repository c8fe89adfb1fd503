// Package document decodes files that people write: JSON with comments, where
// each fault is reported with its file, line and field.
package document
