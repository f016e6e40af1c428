//! A macro for the derives of plain data types.

/// Applies the common derive set of plain data types: debug output, cloning, comparison and serde.
///
/// The leading keyword selects the set: `data` for structs and enums with fields, `copy` for small
/// enums and newtypes of numbers, which are also `Copy`, ordered and hashed.
///
/// ```
/// wasabipoint_kernel::plain_data! {
///     data
///     /// A point in a plan.
///     pub struct Point {
///         /// Distance from the origin in millimetres.
///         pub x_mm: u32,
///     }
/// }
/// assert_eq!(Point { x_mm: 1 }.clone(), Point { x_mm: 1 });
/// ```
#[macro_export]
macro_rules! plain_data {
    (data $item:item) => {
        #[derive(
            Debug, Clone, PartialEq, $crate::__serde::Serialize, $crate::__serde::Deserialize,
        )]
        #[serde(crate = "wasabipoint_kernel::__serde")]
        $item
    };
    (copy $item:item) => {
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            $crate::__serde::Serialize,
            $crate::__serde::Deserialize,
        )]
        #[serde(crate = "wasabipoint_kernel::__serde")]
        $item
    };
}
