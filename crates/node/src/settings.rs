//! Settings files: JSON with comments, checked whole before anything starts.
//!
//! Every error names the file, the line and the field's path.

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
    /// From 1; none when the file can't be read.
    pub line: Option<usize>,
    /// Path of the field, `.` for the whole.
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

/// A combination of fields that can't work.
#[derive(Debug)]
pub struct Invalid {
    /// Path of the field at fault.
    pub field: &'static str,
    pub message: String,
}

impl Invalid {
    /// Names the field at fault.
    pub fn new(field: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { field, message }
    }
}

/// Settings that can check themselves beyond their types.
pub trait Check {
    /// Errors: the first impossible combination.
    fn check(&self) -> Result<(), Invalid>;
}

/// Loads and checks a settings file.
///
/// Errors: unreadable file, bad syntax, unknown or missing field, wrong type or unit, impossible
/// combination.
pub fn load<T: DeserializeOwned + Check>(file: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(file).map_err(|error| Error {
        file: file.to_owned(),
        line: None,
        field: ".".to_owned(),
        message: error.to_string(),
    })?;
    parse(file, &text)
}

/// Parses and checks settings from text; `file` is named in errors.
///
/// Errors: as for [`load`], but for unreadable files.
pub fn parse<T: DeserializeOwned + Check>(file: &Path, text: &str) -> Result<T, Error> {
    let at = |line: usize, field: &str, message: String| Error {
        file: file.to_owned(),
        line: Some(line),
        field: field.to_owned(),
        message,
    };
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &options()).map_err(|error| {
            at(
                line_of(text, error.range().start),
                ".",
                error.kind().to_string(),
            )
        })?;
    let settings: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path: Vec<String> = error.path().iter().filter_map(segment).collect();
        let field = error.path().to_string();
        at(
            find_line(text, &path),
            &field,
            error.into_inner().to_string(),
        )
    })?;
    settings.check().map_err(|invalid| {
        let path: Vec<String> = invalid.field.split('.').map(str::to_owned).collect();
        at(find_line(text, &path), invalid.field, invalid.message)
    })?;
    Ok(settings)
}

fn options() -> ParseOptions {
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

fn segment(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    }
}

fn line_of(text: &str, byte: usize) -> usize {
    let head = text.as_bytes().iter().take(byte);
    1 + head.filter(|b| **b == b'\n').count()
}

/// Line of the deepest part of the path that the file contains.
fn find_line(text: &str, path: &[String]) -> usize {
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &options());
    let root = parsed.ok().and_then(|result| result.value);
    let byte = root.map_or(0, |root| find_byte(&root, path));
    line_of(text, byte)
}

fn find_byte(value: &ast::Value<'_>, path: &[String]) -> usize {
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
                _ => find_byte(&property.value, rest),
            }),
        ast::Value::Array(array) => first
            .parse::<usize>()
            .ok()
            .and_then(|index| array.elements.get(index))
            .map_or(value.start(), |element| find_byte(element, rest)),
        _ => value.start(),
    }
}
