//! Settings files: JSON with comments, validated completely before anything starts.
//!
//! Every error contains the file, the line and the path of the field.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;

/// A settings file that can't be used.
#[derive(Debug)]
pub struct Error {
    pub file: PathBuf,
    /// Counted from 1; `None` if the file can't be read.
    pub line: Option<usize>,
    /// Path of the field; `.` for the whole file.
    pub field: String,
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        match self.line {
            Some(line) => write!(f, ":{line}: {}: {}", self.field, self.message),
            None => write!(f, ": {}", self.message),
        }
    }
}

impl std::error::Error for Error {}

/// An invalid value or combination of fields.
#[derive(Debug)]
pub struct Invalid {
    /// Path of the invalid field.
    pub field: &'static str,
    pub message: String,
}

impl Invalid {
    /// Creates an error for the field at this path.
    pub fn new(field: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { field, message }
    }
}

/// Constraints on settings beyond the types of their fields.
pub trait Check {
    /// Checks all constraints.
    ///
    /// Errors: the first violated constraint.
    fn check(&self) -> Result<(), Invalid>;
}

/// Loads and checks a settings file.
///
/// Errors: unreadable file, bad syntax, unknown or missing field, wrong type or unit, violated
/// constraint.
pub fn load<T: DeserializeOwned + Check>(file: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(file).map_err(|error| Error {
        file: file.to_owned(),
        line: None,
        field: ".".to_owned(),
        message: error.to_string(),
    })?;
    parse(file, &text)
}

/// Parses and checks settings from text; `file` appears in errors only.
///
/// Errors: as for [`load`], except unreadable files.
pub fn parse<T: DeserializeOwned + Check>(file: &Path, text: &str) -> Result<T, Error> {
    let error_at = |line: usize, field: &str, message: String| Error {
        file: file.to_owned(),
        line: Some(line),
        field: field.to_owned(),
        message,
    };
    let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &parse_options())
        .map_err(|error| {
            error_at(
                line_of(text, error.range().start),
                ".",
                error.kind().to_string(),
            )
        })?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path: Vec<String> = error.path().iter().filter_map(segment_name).collect();
        let field = error.path().to_string();
        error_at(
            find_line(text, &path),
            &field,
            error.into_inner().to_string(),
        )
    })?;
    settings.check().map_err(|invalid| {
        let path: Vec<String> = invalid.field.split('.').map(str::to_owned).collect();
        error_at(find_line(text, &path), invalid.field, invalid.message)
    })?;
    Ok(settings)
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        ..ParseOptions::default()
    }
}

fn segment_name(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    }
}

/// Line number, from 1, of a byte offset.
fn line_of(text: &str, offset: usize) -> usize {
    let preceding = text.as_bytes().iter().take(offset);
    1 + preceding.filter(|b| **b == b'\n').count()
}

/// Line of the longest prefix of the path that exists in the file.
fn find_line(text: &str, path: &[String]) -> usize {
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &parse_options());
    let root = parsed.ok().and_then(|result| result.value);
    let offset = root.map_or(0, |root| find_offset(&root, path));
    line_of(text, offset)
}

fn find_offset(value: &ast::Value<'_>, path: &[String]) -> usize {
    let Some((first, rest)) = path.split_first() else {
        return value.start();
    };
    match value {
        ast::Value::Object(object) => object
            .properties
            .iter()
            .find(|property| property.name.as_str() == first)
            .map_or(value.start(), |property| match rest {
                [] => property.range.start,
                _ => find_offset(&property.value, rest),
            }),
        ast::Value::Array(array) => first
            .parse::<usize>()
            .ok()
            .and_then(|index| array.elements.get(index))
            .map_or(value.start(), |element| find_offset(element, rest)),
        _ => value.start(),
    }
}
